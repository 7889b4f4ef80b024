/** A TCP proxy on loopback that delays, holds back or resets what passes between its clients and one listener. */
import * as net from "node:net";

/** What is wrong with a link. What is held back arrives when the fault is over, as after a partition. */
export interface LinkFault {
    readonly isSilentToUpstream: boolean;
    readonly isSilentToClient: boolean;
    readonly delayMs: number;
    /** New connections are reset as soon as they are made. */
    readonly isRefusing: boolean;
}

/** A proxy in front of one listener, its upstream. */
export interface Proxy {
    setFault(fault: LinkFault): void;
    /** Resets all connections. */
    reset(): void;
    close(): void;
}

export const soundLink: LinkFault = { isSilentToUpstream: false, isSilentToClient: false, delayMs: 0, isRefusing: false };

/** Distance between the port of a proxy and that of its upstream, on the same host. */
export const proxiedPortOffset = 10;

const pollMs = 5;

/** Starts a proxy that listens on `host:port` and connects to `targetPort` of the same host. */
export async function startProxy({ host, port, targetPort }: {
    readonly host: string;
    readonly port: number;
    readonly targetPort: number;
}): Promise<Proxy> {
    const sockets = new Set<net.Socket>();
    let fault = soundLink;
    const server = net.createServer({ allowHalfOpen: true, noDelay: true }, client => {
        if (fault.isRefusing) return resetSocket(client);
        const upstream = net.connect({ host, port: targetPort, allowHalfOpen: true, noDelay: true });
        for (const socket of [client, upstream]) {
            sockets.add(socket);
            socket.once("close", () => sockets.delete(socket));
        }
        forward(client, upstream, () => fault.isSilentToUpstream);
        forward(upstream, client, () => fault.isSilentToClient);
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
    return {
        setFault(newFault) {
            fault = newFault;
        },
        reset: resetAll,
        close() {
            resetAll();
            server.close();
        },
    };

    function resetAll(): void {
        for (const socket of sockets) resetSocket(socket);
    }

    /** Forwards data and the end of one direction, in their order. */
    function forward(from: net.Socket, to: net.Socket, isSilent: () => boolean): void {
        const steps: (() => void)[] = [];
        let isRunning = false;
        from.on("data", data => add(() => to.writable && to.write(data)));
        from.on("end", () => add(() => to.end()));
        from.on("error", () => add(() => resetSocket(to)));
        from.on("close", () => add(() => to.destroy()));

        function add(step: () => void): void {
            steps.push(step);
            if (!isRunning) void run();
        }

        async function run(): Promise<void> {
            isRunning = true;
            while (steps.length > 0) {
                if (fault.delayMs > 0) await wait(fault.delayMs);
                while (isSilent()) await wait(pollMs);
                steps.shift()?.();
            }
            isRunning = false;
        }
    }
}

/** Resets a connection. Node.js would leave one open that is being shut down. */
export function resetSocket(socket: net.Socket): void {
    if (socket.writableEnded) socket.destroy();
    else socket.resetAndDestroy();
}

function wait(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
