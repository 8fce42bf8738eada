/** Non-cryptographic hashing with the same results on every instance. */
import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** 64-bit hash of a text. */
export function hash64(text: string): bigint {
  return hasher.h64(text);
}

/** 64-bit hash of bytes, combined with a seed. */
export function hashBytes64(bytes: Uint8Array, seed: bigint): bigint {
  return hasher.h64Raw(bytes, seed);
}

/** 32-bit hash of a text. */
export function hash32(text: string): number {
  return hasher.h32(text);
}

/** 64-bit hash of a text as 16 hexadecimal digits. */
export function hashHex(text: string): string {
  return hash64(text).toString(16).padStart(16, "0");
}

/**
 * Returns the index of the member with the highest hash for a key (rendezvous hashing), or -1 if there
 * are no members. When a member is removed, only its own keys move.
 */
export function rendezvousIndex(key: string, members: readonly string[]): number {
  let best = -1;
  let bestHash = -1n;
  members.forEach((member, index) => {
    const hash = hash64(`${key}\u0000${member}`);
    if (hash > bestHash) {
      best = index;
      bestHash = hash;
    }
  });
  return best;
}
