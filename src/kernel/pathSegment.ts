/** Decodes parts of request paths. */

/** Decodes the percent escapes of a path segment. Returns undefined if they are malformed. */
export function decodePathSegment(segment: string): string | undefined {
    try {
        return decodeURIComponent(segment);
    }
    catch {
        return undefined;
    }
}
