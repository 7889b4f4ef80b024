/** Timers of a simulation, in the order in which they are due. */

/** A timer. */
export interface Timer {
    readonly atMs: number;
    /** Orders timers that are due at the same time. */
    readonly insertionOrder: number;
    readonly run: () => void;
    isCancelled: boolean;
}

/** Creates an empty binary heap, ordered by due time, then by insertion order. */
export function createTimerHeap() {
    const heap: Timer[] = [];
    let timerCount = 0;
    const isEarlier = (a: Timer, b: Timer) => a.atMs < b.atMs || (a.atMs === b.atMs && a.insertionOrder < b.insertionOrder);
    const push = (timer: Timer) => {
        let position = heap.push(timer) - 1;
        while (position > 0) {
            const parent = (position - 1) >> 1;
            if (isEarlier(heap[parent]!, timer)) break;
            heap[position] = heap[parent]!;
            position = parent;
        }
        heap[position] = timer;
    };
    return {
        push,
        add(atMs: number, run: () => void): Timer {
            const timer: Timer = { atMs, insertionOrder: timerCount++, run, isCancelled: false };
            push(timer);
            return timer;
        },
        peek: () => heap[0],
        size: () => heap.length,
        pop(): Timer | undefined {
            const top = heap[0];
            const last = heap.pop();
            if (top === undefined || last === undefined || heap.length === 0) return top;
            let position = 0;
            for (;;) {
                let child = position * 2 + 1;
                if (child >= heap.length) break;
                if (child + 1 < heap.length && isEarlier(heap[child + 1]!, heap[child]!)) child++;
                if (isEarlier(last, heap[child]!)) break;
                heap[position] = heap[child]!;
                position = child;
            }
            heap[position] = last;
            return top;
        },
    };
}
