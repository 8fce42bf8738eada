/** Identity of one run of an instance. */

const RANDOM_BYTES = 8;

/** A random name that no earlier run of the instance has had. */
export function randomIncarnation(): string {
  const bytes = globalThis.crypto.getRandomValues(new Uint8Array(RANDOM_BYTES));
  return [...bytes].map((byte) => byte.toString(16).padStart(2, "0")).join("");
}
