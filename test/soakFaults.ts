/** The faults of a soak, which come in series and overlap: what is disturbed, when, and for how long follows from the seed. */
import type { Ledger } from "./soakLedger.js";
import { soundLink } from "./soakProxy.js";
import type { LinkFault, Proxy } from "./soakProxy.js";
import type { SoakServer } from "./soakServer.js";
import type { Fleet } from "./soakTypes.js";

/** What faults act on. */
export interface FaultTargets {
    readonly fleet: Fleet;
    readonly ledger: Ledger;
    readonly servers: readonly SoakServer[];
    readonly entryCount: number;
    /** Proxies between the callers and each entry. */
    readonly entryProxies: readonly Proxy[];
    /** Puts the next configuration in force. */
    readonly changeConfiguration: () => Promise<void>;
    readonly record: (line: string) => void;
}

type FaultKind =
    | "pauseEntry"
    | "slowEntry"
    | "killEntry"
    | "stopEntry"
    | "pauseControl"
    | "killControl"
    | "delayLink"
    | "silenceLink"
    | "silenceToServer"
    | "silenceToFleet"
    | "resetLink"
    | "refuseLink"
    | "delayCallers"
    | "silenceCallers"
    | "silenceAnswers"
    | "resetCallers"
    | "restartServer"
    | "renameServer"
    | "renameServerLate"
    | "releaseServer"
    | "drainServer"
    | "changeConfiguration";

/** A fault at a certain time. */
interface Fault {
    readonly kind: FaultKind;
    readonly atMs: number;
    readonly forMs: number;
    /** Number in [0, 1) that chooses the target. */
    readonly choice: number;
}

const minGapMs = 100;
const maxGapMs = 900;
const minDurationMs = 100;
const maxDurationMs = 3_000;
const maxRestartDelayMs = 1_500;
const stopGraceMs = 8_000;
/** A slow entry runs for a quarter of the time, as one with a quarter of a core. */
const slowRunMs = 75;
const slowPauseMs = 225;
/** Delay of a link, in each direction, to a server that has not announced its new name yet. */
const slowLinkMs = 40;
const slowLinkTailMs = 500;

/** Shares of the kinds of faults. */
const faultWeights: Readonly<Record<FaultKind, number>> = {
    pauseEntry: 2,
    slowEntry: 2,
    killEntry: 1,
    stopEntry: 1,
    pauseControl: 1,
    killControl: 0.5,
    delayLink: 1,
    silenceLink: 1,
    silenceToServer: 1,
    silenceToFleet: 1,
    resetLink: 2,
    refuseLink: 1,
    delayCallers: 1,
    silenceCallers: 1,
    silenceAnswers: 1,
    resetCallers: 1,
    restartServer: 1,
    renameServer: 1,
    renameServerLate: 1,
    releaseServer: 1,
    drainServer: 0.5,
    changeConfiguration: 1,
};

const handlers: Readonly<Record<FaultKind, (targets: FaultTargets, fault: Fault) => Promise<void>>> = {
    pauseEntry: (targets, fault) => pause(targets, chooseEntry(targets, fault), fault.forMs),
    slowEntry: (targets, fault) => slowDown(targets, chooseEntry(targets, fault), fault.forMs),
    async killEntry(targets, fault) {
        const index = chooseIndex(fault, targets.entryCount);
        await endProcess(targets, `edge-${index + 1}`, "SIGKILL", fault.forMs, () => targets.fleet.startEntry(index, false));
    },
    async stopEntry(targets, fault) {
        const index = chooseIndex(fault, targets.entryCount);
        await endProcess(targets, `edge-${index + 1}`, "SIGTERM", fault.forMs, () => targets.fleet.startEntry(index, false));
    },
    pauseControl: (targets, fault) => pause(targets, `core-${chooseIndex(fault, targets.fleet.controlIps.length) + 1}`, fault.forMs),
    async killControl(targets, fault) {
        const index = chooseIndex(fault, targets.fleet.controlIps.length);
        await endProcess(targets, `core-${index + 1}`, "SIGKILL", fault.forMs, () => targets.fleet.startControl(index, false));
    },
    delayLink: (targets, fault) => harmLink(targets, fault, { ...soundLink, delayMs: fault.forMs / 10 }),
    silenceLink: (targets, fault) => harmLink(targets, fault, { ...soundLink, isSilentToClient: true, isSilentToUpstream: true }),
    silenceToServer: (targets, fault) => harmLink(targets, fault, { ...soundLink, isSilentToUpstream: true }),
    silenceToFleet: (targets, fault) => harmLink(targets, fault, { ...soundLink, isSilentToClient: true }),
    async resetLink(targets, fault) {
        const server = chooseServer(targets, fault);
        targets.ledger.disturb(server.id, Date.now(), Date.now());
        server.proxy.reset();
    },
    refuseLink: (targets, fault) => harmLink(targets, fault, { ...soundLink, isRefusing: true }),
    delayCallers: (targets, fault) => harmEntryLink(targets, fault, { ...soundLink, delayMs: fault.forMs / 10 }),
    silenceCallers: (targets, fault) => harmEntryLink(targets, fault, { ...soundLink, isSilentToUpstream: true }),
    silenceAnswers: (targets, fault) => harmEntryLink(targets, fault, { ...soundLink, isSilentToClient: true }),
    async resetCallers(targets, fault) {
        const index = chooseIndex(fault, targets.entryCount);
        targets.ledger.disturb(`edge-${index + 1}`, Date.now(), Date.now());
        targets.entryProxies[index]!.reset();
    },
    async restartServer(targets, fault) {
        const server = chooseServer(targets, fault);
        server.restart(server.id, server.softwareVersion);
    },
    async renameServer(targets, fault) {
        const server = chooseServer(targets, fault);
        server.restart(`${server.id}b`, server.softwareVersion);
    },
    // Entries know the server under its former name until it announces itself, over a slow link.
    async renameServerLate(targets, fault) {
        const server = chooseServer(targets, fault);
        server.restart(`${server.id}l`, server.softwareVersion, fault.forMs);
        await harmServer(targets, server, { ...soundLink, delayMs: slowLinkMs }, fault.forMs + slowLinkTailMs);
    },
    async releaseServer(targets, fault) {
        const server = chooseServer(targets, fault);
        server.restart(`${server.id}r`, server.softwareVersion === "v1" ? "v2" : "v1");
    },
    async drainServer(targets, fault) {
        const server = chooseServer(targets, fault);
        server.setState("draining");
        await wait(fault.forMs);
        server.setState("ready");
    },
    changeConfiguration: targets => targets.changeConfiguration(),
};

/** Lets faults happen until the time is over. Resolves when all have ended. */
export async function runFaults(targets: FaultTargets, random: () => number, durationMs: number): Promise<void> {
    const startedAtMs = Date.now();
    await Promise.all(
        planFaults(random, durationMs).map(async fault => {
            await wait(fault.atMs);
            targets.record(`${Date.now() - startedAtMs} ${fault.kind} ${fault.choice.toFixed(3)} for ${Math.round(fault.forMs)} ms`);
            await handlers[fault.kind](targets, fault);
        }),
    );
}

function planFaults(random: () => number, durationMs: number): readonly Fault[] {
    const faults: Fault[] = [];
    for (let atMs = 0; atMs < durationMs; atMs += minGapMs + random() * (maxGapMs - minGapMs)) {
        const forMs = minDurationMs + random() ** 2 * (maxDurationMs - minDurationMs);
        faults.push({ kind: chooseKind(random()), atMs, forMs, choice: random() });
    }
    return faults;
}

function chooseKind(number: number): FaultKind {
    const kinds = Object.entries(faultWeights) as readonly (readonly [FaultKind, number])[];
    let left = number * kinds.reduce((sum, [, weight]) => sum + weight, 0);
    for (const [kind, weight] of kinds) {
        left -= weight;
        if (left < 0) return kind;
    }
    return "pauseEntry";
}

function chooseIndex({ choice }: Fault, count: number): number {
    return Math.floor(choice * count);
}

function chooseEntry({ entryCount }: FaultTargets, fault: Fault): string {
    return `edge-${chooseIndex(fault, entryCount) + 1}`;
}

function chooseServer({ servers }: FaultTargets, fault: Fault): SoakServer {
    return servers[chooseIndex(fault, servers.length)]!;
}

async function pause({ fleet, ledger }: FaultTargets, name: string, forMs: number): Promise<void> {
    const { child } = fleet.processes.get(name)!;
    ledger.disturb(name, Date.now(), Date.now() + forMs);
    child.kill("SIGSTOP");
    await wait(forMs);
    child.kill("SIGCONT");
}

// A process with a quarter of a core is not disturbed: it is expected to act in time.
async function slowDown({ fleet }: FaultTargets, name: string, forMs: number): Promise<void> {
    const { child } = fleet.processes.get(name)!;
    for (const untilMs = Date.now() + forMs; Date.now() < untilMs;) {
        child.kill("SIGSTOP");
        await wait(slowPauseMs);
        child.kill("SIGCONT");
        await wait(slowRunMs);
    }
}

async function endProcess(
    { fleet, ledger }: FaultTargets,
    name: string,
    signal: "SIGKILL" | "SIGTERM",
    forMs: number,
    restart: () => unknown,
): Promise<void> {
    const process = fleet.processes.get(name)!;
    if (process.exit !== undefined) return;
    ledger.disturb(name, Date.now(), Date.now() + (signal === "SIGTERM" ? stopGraceMs : 0));
    process.child.kill(signal);
    for (const untilMs = Date.now() + stopGraceMs; process.exit === undefined && Date.now() < untilMs;) await wait(20);
    if (process.exit === undefined) process.child.kill("SIGKILL");
    while (process.exit === undefined) await wait(20);
    await wait(Math.min(forMs, maxRestartDelayMs));
    // Another fault may have ended and started it meanwhile.
    if (fleet.processes.get(name) === process) restart();
}

function harmLink(targets: FaultTargets, fault: Fault, linkFault: LinkFault): Promise<void> {
    return harmServer(targets, chooseServer(targets, fault), linkFault, fault.forMs);
}

function harmServer({ ledger }: FaultTargets, { id, proxy }: SoakServer, linkFault: LinkFault, forMs: number): Promise<void> {
    ledger.disturb(id, Date.now(), Date.now() + forMs);
    return setFaultFor(proxy, linkFault, forMs);
}

function harmEntryLink({ ledger, entryProxies, entryCount }: FaultTargets, fault: Fault, linkFault: LinkFault): Promise<void> {
    const index = chooseIndex(fault, entryCount);
    ledger.disturb(`edge-${index + 1}`, Date.now(), Date.now() + fault.forMs);
    return setFaultFor(entryProxies[index]!, linkFault, fault.forMs);
}

async function setFaultFor(proxy: Proxy, linkFault: LinkFault, forMs: number): Promise<void> {
    proxy.setFault(linkFault);
    await wait(forMs);
    proxy.setFault(soundLink);
}

function wait(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
