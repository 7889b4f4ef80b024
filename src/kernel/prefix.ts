/** Hashes of prompt prefixes, by which the router finds a warm prefix cache. */
import { crc32 } from "node:zlib";

/** Characters of one block. A prefix is known by the chain of its blocks. */
export const prefixBlockChars = 256;
const maxBlocks = 64;

/** Hashes of the prompt's prefixes, shortest first. A text shorter than one block has none. */
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
