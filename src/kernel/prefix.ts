/** Hashes of prompt prefixes. The router uses them to find backend servers with a matching prefix in their cache. */
import { crc32 } from "node:zlib";

/** Length of one block in characters. The hash of a prefix is chained over its blocks. */
export const prefixBlockChars = 256;
const maxBlocks = 64;

/** Returns the hashes of the prompt's prefixes, shortest first. A prompt shorter than one block has none. */
export function getPrefixHashes(prompt: string): readonly string[] {
    const hashes: string[] = [];
    let hash = 0;
    const blocks = Math.min(maxBlocks, Math.floor(prompt.length / prefixBlockChars));
    for (let block = 0; block < blocks; block++) {
        const text = prompt.slice(block * prefixBlockChars, (block + 1) * prefixBlockChars);
        hash = crc32(text, hash);
        hashes.push(`${block}:${hash.toString(16)}`);
    }
    return hashes;
}
