/** What lovagectl reports when it has waited for a change. */
import { Cli } from "clipanion";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { PassThrough } from "node:stream";
import { test } from "tap";
import { ApplyCommand } from "../src/operator/configurationCommands.js";

/** Serves an administration API that accepts version 5 and reports one VM with the given version. */
async function serveAdministration(versionInForce: number) {
    const status = { vms: [{ vm: "entry-1", versionInForce }] };
    const server = createServer((request, response) => {
        request.resume();
        response.end(
            JSON.stringify(request.url?.endsWith("/status") ? status : { result: { outcome: "accepted", version: 5, problems: [] } }),
        );
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, close: () => server.close() };
}

async function applyAndWait(url: string): Promise<number> {
    process.env["LOVAGE_OPERATOR_TOKEN"] = "token";
    const sink = new PassThrough().resume();
    const cli = Cli.from([ApplyCommand]);
    return cli.run(["apply", "-f", "examples/cascade.json", "--base-version", "4", "--wait", "--control", url], {
        stdout: sink,
        stderr: sink,
    });
}

test("apply --wait fails when a VM has not applied the version in time", async t => {
    const administration = await serveAdministration(4);
    t.equal(await applyAndWait(administration.url), 4);
    administration.close();
});

test("apply --wait succeeds when all VMs have applied the version", async t => {
    const administration = await serveAdministration(5);
    t.equal(await applyAndWait(administration.url), 0);
    administration.close();
});
