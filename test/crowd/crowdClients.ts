/** Clients that send more than they may and read nothing. */
import * as net from "node:net";
import type { Target } from "./crowdFleet.js";

/** What each client of a crowd sends on its connection. */
export interface Sending {
    /** Sent first. */
    readonly head: string | Buffer;
    /** Sent again and again after the head. */
    readonly part: Buffer;
    /** Number of parts after which the client sends nothing more and keeps its connection open. */
    readonly parts: number;
    /** Opens a new connection for each that is closed. */
    readonly isRepeated?: boolean;
}

/** Connections of a crowd. */
export interface Crowd {
    /** Resolves when nothing of what the clients send moves any more, or all connections are closed. */
    settled(): Promise<void>;
    /** Closes all connections. */
    leave(): void;
}

const pollMs = 100;
/** Polls in a row without a byte after which a crowd is settled. */
const quietPolls = 10;
/** A crowd whose clients come back never settles. */
const maxPolls = 150;
/** Connections that are opened at once. More would overflow the listen queue. */
const connectBatch = 100;
const reconnectDelayMs = 20;

/** Opens the connections of a crowd and sends on all of them at once. The connections take the sendings in turn. */
export function sendCrowd(target: Target, connections: number, sendings: readonly Sending[]): Crowd {
    const sockets = new Set<net.Socket>();
    let openedCount = 0;
    let endedBytes = 0;
    let hasLeft = false;
    openBatch();
    return {
        async settled() {
            let lastBytes = -1;
            for (let polls = 0, quiet = 0; polls < maxPolls && quiet < quietPolls; polls++) {
                await new Promise(resolve => setTimeout(resolve, pollMs));
                const isOpening = openedCount < connections;
                const bytes = countBytes();
                quiet = bytes === lastBytes && !isOpening ? quiet + 1 : 0;
                lastBytes = bytes;
            }
        },
        leave() {
            hasLeft = true;
            for (const socket of sockets) socket.destroy();
        },
    };

    function openBatch(): void {
        const until = Math.min(connections, openedCount + connectBatch);
        for (; openedCount < until; openedCount++) open(sendings[openedCount % sendings.length]!);
        if (openedCount < connections && !hasLeft) setTimeout(openBatch, pollMs);
    }

    function open(sending: Sending): void {
        if (hasLeft) return;
        const socket = net.connect({ host: target.host, port: target.port, allowHalfOpen: true });
        sockets.add(socket);
        let leftParts = sending.parts;
        const send = () => {
            while (leftParts > 0 && !socket.destroyed) {
                leftParts--;
                if (!socket.write(sending.part)) return;
            }
        };
        socket.pause();
        socket.on("error", () => undefined);
        socket.on("drain", send);
        socket.on("close", () => {
            sockets.delete(socket);
            endedBytes += socket.bytesWritten;
            if (sending.isRepeated === true) setTimeout(() => open(sending), reconnectDelayMs);
        });
        socket.once("connect", () => {
            socket.write(sending.head);
            send();
        });
    }

    function countBytes(): number {
        let bytes = endedBytes;
        for (const socket of sockets) bytes += socket.bytesWritten - socket.writableLength;
        return bytes;
    }
}
