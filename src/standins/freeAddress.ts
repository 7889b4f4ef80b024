/** Finds a free loopback address, for processes whose address must be known before they start. */
import type { Host } from "../kernel/host.js";
import type { Address } from "../kernel/types.js";

/** An address that was free a moment ago. */
export async function findFreeAddress(host: Host): Promise<Address> {
    const listener = await host.network.serve({ address: "127.0.0.1:0", handler: () => Promise.resolve(), maxBodyBytes: 1 });
    await listener.close();
    return listener.address;
}
