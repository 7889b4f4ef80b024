/** Body of a simulated HTTP response: its parts in order, and how it ended. */

/** Creates a pipe. `onReaderClosed` is called if the reader stops before the end. */
export function createPipe(onReaderClosed: () => void) {
    const chunks: Uint8Array[] = [];
    let error: Error | undefined;
    let isEnded = false;
    let wake: () => void = () => undefined;
    return {
        push(chunk: Uint8Array) {
            chunks.push(chunk);
            wake();
        },
        end() {
            isEnded = true;
            wake();
        },
        fail(reason: Error) {
            if (isEnded) return;
            isEnded = true;
            error = reason;
            wake();
        },
        isEnded: () => isEnded,
        async *read(): AsyncGenerator<Uint8Array> {
            try {
                for (;;) {
                    while (chunks.length > 0) yield chunks.shift()!;
                    if (error !== undefined) throw error;
                    if (isEnded) return;
                    await new Promise<void>(resolve => {
                        wake = resolve;
                    });
                }
            }
            finally {
                if (!isEnded) onReaderClosed();
            }
        },
    };
}
