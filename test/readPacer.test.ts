/** Connections take turns in being read, so that none keeps the others waiting. No network: the test plays the event loop. */
import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import { test } from "tap";
import type { LogFields, Logger } from "../src/kernel/host.js";
import { createReadPacer, maxPartsPerTurn } from "../src/kernel/readPacer.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";

/** A socket that knows whether it is read. */
class FakeSocket extends EventEmitter {
    isReading = true;
    readonly destroyed = false;

    pause(): void {
        this.isReading = false;
    }

    resume(): void {
        if (this.isReading) return;
        this.isReading = true;
        this.emit("resume");
    }
}

const partMs = 0.004;

/** Plays turns of an event loop that reads its sockets always in the same order. */
function createLoop(log: Pick<Logger, "warn"> = createSilentLogger()) {
    const turnEnds: (() => void)[] = [];
    const timers = new Set<{ readonly dueAtMs: number; readonly callback: () => void; }>();
    let nowMs = 0;
    const pacer = createReadPacer({
        clock: { nowMs: () => nowMs },
        timers: {
            after(delayMs, callback) {
                const timer = { dueAtMs: nowMs + delayMs, callback };
                timers.add(timer);
                return () => void timers.delete(timer);
            },
        },
        log,
        scheduleTurnEnd: callback => void turnEnds.push(callback),
    });
    const connections: { readonly socket: FakeSocket; readonly read: () => number; readonly unreadTurns: number[]; }[] = [];
    return {
        connections,
        pacer,
        getNowMs: () => nowMs,
        /** Adds a connection that has this number of parts to read in each turn. */
        add(partsPerTurn: number) {
            const socket = new FakeSocket();
            const paced = pacer.add(socket as unknown as Socket);
            const read = () => {
                if (!socket.isReading) return 0;
                for (let part = 0; part < partsPerTurn; part++) {
                    paced.countPart();
                    nowMs += partMs;
                }
                return partsPerTurn;
            };
            const connection = { socket, paced, read, unreadTurns: [0] };
            connections.push(connection);
            return connection;
        },
        /** Returns the parts that were read in the turn. */
        playTurn(): number {
            for (const timer of timers) {
                if (timer.dueAtMs > nowMs) continue;
                timers.delete(timer);
                timer.callback();
            }
            let parts = 0;
            for (const { read, socket, unreadTurns } of connections) {
                const isRead = socket.isReading;
                parts += read();
                if (isRead) unreadTurns.push(0);
                else unreadTurns.push(unreadTurns.at(-1)! + 1);
            }
            for (const callback of turnEnds.splice(0)) callback();
            if (parts < maxPartsPerTurn && turnEnds.length === 0) sleep();
            return parts;
        },
    };

    /** An event loop without work sleeps until the next timer. */
    function sleep(): void {
        const [next] = [...timers].sort((left, right) => left.dueAtMs - right.dueAtMs);
        if (next !== undefined) nowMs = Math.max(nowMs, next.dueAtMs);
    }
}

const heavyParts = 10_000;

test("a turn reads no more than its parts and one connection beyond", t => {
    const loop = createLoop();
    for (let number = 0; number < 50; number++) loop.add(heavyParts);
    for (let turn = 0; turn < 200; turn++) t.ok(loop.playTurn() < maxPartsPerTurn + heavyParts);
    t.end();
});

test("an ordinary connection is read in every second turn, whatever others send and in whichever order they are read", t => {
    for (const ordinaryIndex of [0, 25, 50]) {
        const loop = createLoop();
        for (let number = 0; number < ordinaryIndex; number++) loop.add(heavyParts);
        const ordinary = loop.add(1);
        for (let number = ordinaryIndex; number < 50; number++) loop.add(heavyParts);
        // Until each of the others has shown what it sends.
        for (let turn = 0; turn < 60; turn++) loop.playTurn();
        ordinary.unreadTurns.splice(0, Infinity, 0);
        for (let turn = 0; turn < 200; turn++) loop.playTurn();
        t.ok(Math.max(...ordinary.unreadTurns) <= 1, `unread for ${Math.max(...ordinary.unreadTurns)} turns`);
    }
    t.end();
});

test("connections with many parts are read in turn, none forever and none never", t => {
    const loop = createLoop();
    const heavy = Array.from({ length: 10 }, () => loop.add(heavyParts));
    for (let turn = 0; turn < 20; turn++) loop.playTurn();
    for (const { unreadTurns } of heavy) unreadTurns.splice(0, Infinity, 0);
    for (let turn = 0; turn < 200; turn++) loop.playTurn();
    const longest = heavy.map(({ unreadTurns }) => Math.max(...unreadTurns));
    t.ok(Math.max(...longest) <= 2 * heavy.length, longest.join(" "));
    t.end();
});

test("a connection alone is read in every second turn at least", t => {
    const loop = createLoop();
    const only = loop.add(heavyParts);
    for (let turn = 0; turn < 100; turn++) loop.playTurn();
    t.ok(Math.max(...only.unreadTurns) <= 1);
    t.end();
});

test("ordinary connections are never paused, however many there are", t => {
    const loop = createLoop();
    const ordinary = Array.from({ length: maxPartsPerTurn - 1 }, () => loop.add(1));
    for (let turn = 0; turn < 10; turn++) loop.playTurn();
    t.ok(ordinary.every(({ unreadTurns }) => Math.max(...unreadTurns) === 0));
    t.end();
});

test("a connection that its owner blocks is not read, whatever resumes it, and is read once it is unblocked", t => {
    const loop = createLoop();
    const { socket, paced } = loop.add(1);
    paced.setBlocked(true);
    socket.resume();
    t.notOk(socket.isReading);
    loop.playTurn();
    t.notOk(socket.isReading);
    paced.setBlocked(false);
    t.ok(socket.isReading);
    t.end();
});

test("turns that are full take at most half of the time, however many connections wait for them", t => {
    for (const heavyCount of [1, 2, 60]) {
        const loop = createLoop();
        for (let number = 0; number < heavyCount; number++) loop.add(heavyParts);
        // Until each has shown what it sends.
        for (let turn = 0; turn < 2 * heavyCount; turn++) loop.playTurn();
        const fromMs = loop.getNowMs();
        let parts = 0;
        for (let turn = 0; turn < 1_000; turn++) parts += loop.playTurn();
        const readMs = parts * partMs;
        const elapsedMs = loop.getNowMs() - fromMs;
        // The last turn may have been a full one.
        t.ok(parts > 100 * heavyParts, `${parts} parts`);
        t.ok(readMs <= elapsedMs / 2 + heavyParts * partMs, `${Math.round(readMs)} ms of ${Math.round(elapsedMs)} ms`);
    }
    t.end();
});

test("connections that wait for a turn of their own are logged once a second", t => {
    const lines: (LogFields | undefined)[] = [];
    const loop = createLoop({ warn: (_message, fields) => void lines.push(fields) });
    loop.add(1);
    for (let turn = 0; turn < 100; turn++) loop.playTurn();
    t.same(lines, [], "not for ordinary ones");
    for (let number = 0; number < 10; number++) loop.add(heavyParts);
    const fromMs = loop.getNowMs();
    while (loop.getNowMs() < fromMs + 5_000) loop.playTurn();
    t.ok(lines.length >= 4 && lines.length <= 6, `${lines.length} lines in 5 s`);
    t.ok(lines.every(fields => fields!["connections"] as number > 0));
    t.end();
});
