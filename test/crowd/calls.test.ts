/** Calls between processes, by clients that send many of them, or messages that are small only while compressed. */
import { constants, deflateRawSync } from "node:zlib";
import { test } from "tap";
import { checkCrowd } from "./crowdCheck.js";
import type { TargetName } from "./crowdFleet.js";

const connections = 40;
/** Memory of the smallest VM of an entry. */
const limits = { memoryMb: 160 };
const partBytes = 256 * 1024;
const parts = 16;
/** Below and above the limit of a message in a process of the smallest VM. */
const inflatedSizesBytes = [2.25 * 1024 * 1024, 3 * 1024 * 1024, 8 * 1024 * 1024];
const inflatedMessages = 4;
/** A fleet without a secret takes the empty one. */
const upgradeHead = "GET /rpc HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"
    + "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Extensions: permessage-deflate\r\nlovage-fleet-secret:\r\n\r\n";
/** As many as fit into a head. */
const callsPerBatch = 3_000;
const batches = 200;
const wholeText = 0x81;
const wholeCompressedText = 0xc1;
/** `deflateRawSync` ends a block with these bytes, which are not sent. */
const blockEndBytes = 4;

/** Creates a masked frame with a whole message. The mask is zero. */
function createFrame(kind: number, content: Buffer): Buffer {
    const head = Buffer.alloc(14);
    head[0] = kind;
    head[1] = 0xff;
    head.writeBigUInt64BE(BigInt(content.length), 2);
    return Buffer.concat([head, content]);
}

function createCompressedFrame(content: Buffer): Buffer {
    const compressed = deflateRawSync(content, { finishFlush: constants.Z_SYNC_FLUSH });
    return createFrame(wholeCompressedText, compressed.subarray(0, -blockEndBytes));
}

/** Creates a call with an input of this size. No process has its procedure. */
function createCall(inputBytes: number, id = 1): Buffer {
    return Buffer.from(JSON.stringify({ id, method: "query", params: { path: "none", input: "i".repeat(inputBytes) } }));
}

function createBatch(): Buffer {
    const procedures = Array.from({ length: callsPerBatch }, () => "none").join();
    return Buffer.from(`GET /rpc/${procedures}?batch=1 HTTP/1.1\r\nHost: a\r\nlovage-fleet-secret:\r\n\r\n`);
}

const fleetTargets: readonly TargetName[] = ["entryFleet", "controlFleet", "agentFleet"];

for (const to of fleetTargets) {
    test(`many small calls on each connection, their answers unread, to ${to}`, t => {
        const frame = createFrame(wholeText, createCall(0));
        const part = Buffer.concat(Array.from({ length: Math.ceil(partBytes / frame.length) }, () => frame));
        return checkCrowd(t, { to, connections, limits, createSending: () => ({ head: upgradeHead, part, parts }) });
    });

    test(`many small calls with ids of their own, their answers unread, to ${to}`, t => {
        const sizeBytes = createFrame(wholeText, createCall(0)).length;
        const ids = Array.from({ length: Math.ceil(partBytes / sizeBytes) }, (_, index) => index);
        const part = Buffer.concat(ids.map(id => createFrame(wholeText, createCall(0, id))));
        return checkCrowd(t, { to, connections, limits, createSending: () => ({ head: upgradeHead, part, parts }) });
    });

    for (const inflatedBytes of inflatedSizesBytes) {
        test(`calls of ${inflatedBytes} bytes once they are inflated, to ${to}`, t => {
            const part = createCompressedFrame(createCall(inflatedBytes));
            return checkCrowd(t, { to, connections, limits, createSending: () => ({ head: upgradeHead, part, parts: inflatedMessages }) });
        });
    }

    test(`calls over HTTP in large batches, their answers unread, to ${to}`, t =>
        checkCrowd(t, { to, connections, limits, createSending: () => ({ head: "", part: createBatch(), parts: batches }) }));
}
