/** Requests for many backend servers in turn, which leave idle connections to each of them. */
import { test } from "tap";
import { checkCrowd } from "./crowdCheck.js";
import { createCallerHeaders, getServiceName } from "./crowdFleet.js";

const connections = 200;
/** With the 40 connections that an entry has to each backend server, more than the process has descriptors for. */
const serviceCount = 14;
/** Memory of an entry of `cascade-tabs`, which holds all requests of the crowd. */
const limits = { memoryMb: 350 };

/** Asks one service after another, so that all clients ask the same one at about the same time. */
function createRequests(): string {
    const headers = Object.entries(createCallerHeaders("turn")).map(([name, value]) => `${name}: ${value}\r\n`);
    const createRequest = (index: number) => `GET /${getServiceName(index)}/slow HTTP/1.1\r\n${headers.join("")}\r\n`;
    return Array.from({ length: serviceCount }, (_, index) => createRequest(index)).join("");
}

test("requests for one backend server after another, on many connections", t =>
    checkCrowd(t, {
        to: "callers",
        connections,
        limits,
        serviceCount,
        createSending: () => ({ head: createRequests(), part: Buffer.alloc(0), parts: 0 }),
    }));
