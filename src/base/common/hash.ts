/** Non-cryptographic hashing, the same on every instance. */
import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** 64-bit hash of a text. */
export function hash64(text: string): bigint {
  return hasher.h64(text);
}

/** 32-bit hash of a text. */
export function hash32(text: string): number {
  return hasher.h32(text);
}

/** 16 hexadecimal digits of a text's hash. */
export function hashHex(text: string): string {
  return hash64(text).toString(16).padStart(16, "0");
}

/**
 * Picks the member with the highest hash for a key (rendezvous hashing), so that only the keys of a
 * member that goes away move. Returns -1 when there are no members.
 */
export function rendezvous(key: string, members: readonly string[]): number {
  let best = -1;
  let bestWeight = -1n;
  members.forEach((member, index) => {
    const weight = hash64(`${key}\u0000${member}`);
    if (weight > bestWeight) {
      best = index;
      bestWeight = weight;
    }
  });
  return best;
}
