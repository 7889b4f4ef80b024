/** What an agent says of attempts that it is asked to cancel. */
import { test } from "tap";
import { createAgent } from "../src/agent/agent.js";
import type { AgentOptions } from "../src/agent/agent.js";
import { createNodeHost } from "../src/kernel/hostNode.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";

const host = createNodeHost({ fleetSecret: "secret", createLogger: createSilentLogger });

function createRestartedAgent() {
    return createAgent(host, { announcement: { incarnation: "second" }, adapter: {}, control: {} } as unknown as AgentOptions);
}

test("an agent that has restarted does not say that an attempt of its former incarnation never ran", async t => {
    const reply = await createRestartedAgent().api.cancel({ requestId: "r.0", incarnation: "first", bill: "finished" });
    t.same(reply, { state: "otherIncarnation", billedTokens: 0 });
});

test("an agent says that an attempt that was sent to it and never arrived has not run", async t => {
    const reply = await createRestartedAgent().api.cancel({ requestId: "r.0", incarnation: "second", bill: "finished" });
    t.same(reply, { state: "unknown", billedTokens: 0 });
});
