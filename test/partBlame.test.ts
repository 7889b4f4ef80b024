/** Which prompts are held back for crashes of the parts that they contain. */
import { test } from "tap";
import { createSuspectParts } from "../src/entry/direct/suspectParts.js";
import { findBlamedPart } from "../src/kernel/partBlame.js";
import type { PartCrash } from "../src/kernel/partBlame.js";

const crash = (number: number): PartCrash => ({
    crashId: `c${number}`,
    failureDomain: `d${number % 3}`,
    atMs: number * 1_000,
    isSolo: false,
});
const crashes = (...numbers: number[]): PartCrash[] => numbers.map(crash);

test("a part is blamed from its third crash on", t => {
    t.equal(findBlamedPart(["first", "bad"], new Map([["bad", crashes(1, 2)]])), undefined);
    t.equal(findBlamedPart(["first", "bad"], new Map([["bad", crashes(1, 2, 3)]])), "bad");
    t.equal(findBlamedPart(["first"], new Map([["bad", crashes(1, 2, 3)]])), undefined);
    t.end();
});

test("a prompt is not held back for parts whose crashes another part explains", t => {
    const suspects = new Map([["first", crashes(0, 1, 2, 3)], ["document", crashes(1, 2, 3)], ["bad", crashes(1, 2, 3)]]);
    t.equal(findBlamedPart(["first", "document"], suspects), undefined);
    t.equal(findBlamedPart(["first", "other"], suspects), undefined);
    t.not(findBlamedPart(["first", "document", "bad"], suspects), undefined);
    t.end();
});

test("a part that crashes without the parts that explained its crashes is blamed after three more", t => {
    const explained = new Map([["document", crashes(1, 2, 3)], ["bad", crashes(1, 2, 3, 4)]]);
    t.equal(findBlamedPart(["bad", "another"], explained), undefined);
    t.equal(findBlamedPart(["bad", "another"], new Map([...explained, ["bad", crashes(1, 2, 3, 4, 5, 6)]])), "bad");
    t.end();
});

test("a sound part that was running at two crashes of another cause is not blamed for those that another part explains", t => {
    const suspects = new Map([["document", crashes(1, 2, 3, 4, 7, 8)], ["bad", crashes(1, 2, 3, 4)]]);
    t.equal(findBlamedPart(["first", "document"], suspects), undefined);
    t.equal(findBlamedPart(["first", "document", "bad"], suspects), "document");
    t.end();
});

test("a part is blamed although several sound parts together were running at each of its crashes", t => {
    const sound = [[1, 2], [3, 4], [5, 6]].map((numbers, index) => [`sound${index}`, crashes(...numbers)] as const);
    t.equal(findBlamedPart(["first", "bad"], new Map([["bad", crashes(1, 2, 3, 4, 5, 6)], ...sound])), "bad");
    t.end();
});

test("crashes of a whole pool at one moment count once against a part", t => {
    const atOnce = [0, 1, 2, 3].map(number => ({ ...crash(number), atMs: 5_000 + number * 20 }));
    t.equal(findBlamedPart(["first"], new Map([["first", atOnce]])), undefined);
    t.end();
});

test("a prompt part is no longer held back when the time that control published has passed", t => {
    const crashes = [1, 2, 3].map(number => ({
        crashId: `server-${number}`,
        failureDomain: `d${number}`,
        isSolo: false,
        atMs: number * 10_000,
    }));
    let controlTimeMs = 40_000;
    const parts = createSuspectParts({
        clock: { nowMs: () => 0, wallMs: () => 0 },
        controlTime: { getUpperBoundMs: () => controlTimeMs },
        configuration: { getSuspectParts: () => new Map([["bad", { partId: "bad", crashes, expiresAtMs: 600_000 }]]) },
        ownSuspicionMs: 10_000,
        publicationMs: 1_000,
    });
    t.equal(parts.getHeldBackMs(["first", "bad", "own"]), 560_000);
    controlTimeMs = 600_000;
    t.equal(parts.getHeldBackMs(["first", "bad", "own"]), undefined);
    t.end();
});
