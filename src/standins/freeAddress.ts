/** Finds a free loopback address for a process whose address must be known before it starts. */
import type { Host } from "../kernel/host.js";
import type { Address } from "../kernel/types.js";

/** Returns a loopback address with a port that was free when it was checked. Another process may take it before its use. */
export async function findFreeAddress(host: Host): Promise<Address> {
    const listener = await host.network.serve({ address: "127.0.0.1:0", kind: "fleet", handler: () => Promise.resolve(), maxBodyBytes: 1 });
    await listener.close();
    return listener.address;
}
