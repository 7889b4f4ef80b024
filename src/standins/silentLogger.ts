/** Logger for runs whose output nobody reads. */
import type { Logger } from "../kernel/host.js";

const ignore = () => undefined;

/** Creates a logger that writes nothing. */
export function createSilentLogger(): Logger {
    return { debug: ignore, info: ignore, warn: ignore, error: ignore };
}
