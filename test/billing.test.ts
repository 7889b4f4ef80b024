/** Billing of generations by delivered events. */
import { test } from "tap";
import { getBilledTokens, getReservationTokens } from "../src/entry/direct/billing.js";

const generation = { promptTokens: 1_000, maxCompletionTokens: 300 };

test("a generation is billed for its prompt and the delivered events", t => {
    t.equal(getReservationTokens(generation), 1_300);
    t.equal(getBilledTokens(generation, { hasAnswered: true, deliveredEvents: 10 }, 6), 1_060);
    t.equal(getBilledTokens(generation, { hasAnswered: true, deliveredEvents: 0 }, 6), 1_000);
    t.equal(getBilledTokens(generation, { hasAnswered: true, deliveredEvents: 90 }, 6), 1_300, "at most the reservation");
    t.equal(getBilledTokens(generation, { hasAnswered: true, deliveredEvents: 1 }, undefined), 1_300, "events of unknown size");
    t.equal(getBilledTokens(generation, { hasAnswered: false, deliveredEvents: 0 }, 6), 0);
    t.equal(getBilledTokens(undefined, { hasAnswered: true, deliveredEvents: 3 }, 6), 0);
    t.end();
});
