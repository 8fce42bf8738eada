/** Incarnation ids, which distinguish successive runs of the same instance. */

const RANDOM_BYTES = 8;

/** Returns a random id; with 64 bits, a repeat of an earlier run's id is negligibly unlikely. */
export function randomIncarnation(): string {
  const bytes = globalThis.crypto.getRandomValues(new Uint8Array(RANDOM_BYTES));
  return [...bytes].map((byte) => byte.toString(16).padStart(2, "0")).join("");
}
