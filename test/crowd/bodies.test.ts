/** Bodies that stop just short of their end, never end, or are far over the limit, on many connections at once. */
import { test } from "tap";
import { checkCrowd } from "./crowdCheck.js";
import type { Sending } from "./crowdClients.js";
import { createCallerHeaders } from "./crowdFleet.js";
import type { Target, TargetName } from "./crowdFleet.js";

const connections = 60;
/** Memory of the smallest VM of an entry. */
const limits = { memoryMb: 160 };
const chunkBytes = 64 * 1024;
/** `max_body_bytes` of the desired state. */
const maxBodyBytes = 4 * 1024 * 1024;
const announcedBytes = 1_000_000_000;
const sentOfAnnouncedBytes = 32 * 1024 * 1024;
const smallChunksPerPart = 16_384;
/** Connections whose bodies are each smaller than any that the code ends, and together larger than the process may be. */
const smallBodyConnections = 1_500;
const smallBodyBytes = 64 * 1024 - 1;

const allTargets: readonly TargetName[] = ["callers", "ready", "entryFleet", "control", "controlFleet", "agentFleet"];

function createHead(path: string, ownHeaders: string): string {
    const headers = Object.entries(createCallerHeaders("body")).map(([name, value]) => `${name}: ${value}\r\n`);
    return `POST ${path} HTTP/1.1\r\n${headers.join("")}${ownHeaders}\r\n\r\n`;
}

function createChunk(sizeBytes: number): Buffer {
    return Buffer.from(`${sizeBytes.toString(16)}\r\n${"b".repeat(sizeBytes)}\r\n`);
}

/** Sends one chunk less than the limit allows, and not the last one. */
function sendLargeChunks({ path }: Pick<Target, "path">): Sending {
    return { head: createHead(path, "Transfer-Encoding: chunked"), part: createChunk(chunkBytes), parts: maxBodyBytes / chunkBytes - 1 };
}

/** Sends chunks of one byte as long as it may. */
function sendSmallChunks({ path }: Pick<Target, "path">): Sending {
    const part = Buffer.from("1\r\nb\r\n".repeat(smallChunksPerPart));
    const parts = maxBodyBytes / smallChunksPerPart - 1;
    return { head: createHead(path, "Transfer-Encoding: chunked"), part, parts, isRepeated: true };
}

function sendWithoutEnd({ path }: Pick<Target, "path">): Sending {
    return { head: createHead(path, "Transfer-Encoding: chunked"), part: createChunk(chunkBytes), parts: Infinity, isRepeated: true };
}

function sendAnnounced({ path }: Pick<Target, "path">): Sending {
    const part = Buffer.alloc(chunkBytes, "b");
    return { head: createHead(path, `Content-Length: ${announcedBytes}`), part, parts: sentOfAnnouncedBytes / chunkBytes };
}

for (const to of allTargets) {
    test(`bodies in large chunks that stop short of their end, to ${to}`, t =>
        checkCrowd(t, { to, connections, limits, createSending: sendLargeChunks }));

    test(`bodies in chunks of one byte, to ${to}`, t => checkCrowd(t, { to, connections, limits, createSending: sendSmallChunks }));

    test(`bodies of an announced length far over the limit, to ${to}`, t =>
        checkCrowd(t, { to, connections, limits, createSending: sendAnnounced }));

    test(`bodies without end, to ${to}`, t => checkCrowd(t, { to, connections, limits, createSending: sendWithoutEnd }));
}

/** Sizes around those at which the code changes its ways, up to the limit of a body. */
const mixedSizesBytes = [1, 1_000, 16 * 1024 - 1, 16 * 1024 + 1, 64 * 1024 - 1, 64 * 1024 + 1, 300_000, 1024 * 1024, maxBodyBytes - 1];
const mixedConnections = 400;

/** Announces bodies that are one byte longer than what is sent, or sends them in one chunk without the last one. */
function sendMixedSizes({ path }: Pick<Target, "path">): readonly Sending[] {
    return mixedSizesBytes.flatMap(sizeBytes => [
        { head: createHead(path, `Content-Length: ${sizeBytes + 1}`), part: Buffer.alloc(sizeBytes, "b"), parts: 1 },
        { head: createHead(path, "Transfer-Encoding: chunked"), part: createChunk(sizeBytes), parts: 1 },
    ]);
}

for (const to of allTargets) {
    test(`bodies of many sizes that stop short of their end, to ${to}`, t =>
        checkCrowd(t, { to, connections: mixedConnections, limits, createSending: sendMixedSizes }));
}

for (const to of ["callers", "control", "controlFleet"] as const) {
    test(`many bodies just under 64 KiB that stop short of their end, to ${to}`, t =>
        checkCrowd(t, {
            to,
            connections: smallBodyConnections,
            limits: { maxDescriptors: smallBodyConnections + 500 },
            createSending: ({ path }) => ({
                head: createHead(path, `Content-Length: ${smallBodyBytes + 1}`),
                part: Buffer.alloc(smallBodyBytes, "b"),
                parts: 1,
            }),
        }));
}

/** A process whose fleet has no secret takes the empty one. */
const emptySecret = "lovage-fleet-secret:\r\nContent-Type: application/json\r\n";

for (const to of ["entryFleet", "controlFleet"] as const) {
    test(`bodies of calls over HTTP without end, to ${to}`, t =>
        checkCrowd(t, {
            to,
            connections,
            limits,
            createSending: () => ({
                head: createHead("/rpc/submit", `${emptySecret}Transfer-Encoding: chunked`),
                part: createChunk(chunkBytes),
                parts: Infinity,
                isRepeated: true,
            }),
        }));
}
