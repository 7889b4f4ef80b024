#!/usr/bin/env node
import "../dist/src/programs/lovage-entry.js";
