#!/usr/bin/env node
import "../dist/src/programs/lovagectl.js";
