/** Limits on the responses of backend servers, which may send bytes without end. */
import type { Effect } from "effect";
import type { UpstreamError } from "./opaque_request.ts";

export interface IResponseLimits {
  /** Maximum size of a response's body. */
  readonly maxResponseBytes: number;
  /** Maximum size of one event of a stream. */
  readonly maxEventBytes: number;
}

/** Receives the body of a response up to its limits. */
export interface ILimitedReceiver {
  /** Whether a limit is exceeded; further chunks are ignored. */
  readonly isExceeded: boolean;
  push(chunk: Uint8Array): void;
  /** Fails once a limit is exceeded. */
  failWhenExceeded(): Effect.Effect<never, UpstreamError>;
}

/** Size up to which a response is not charged to the pool, so that ordinary ones are received while it is used up. */
const UNCHARGED_BYTES = 16 * 1024;

/** Limits the memory of all responses that are being received, beyond a small part of each. */
export class ResponseMemoryPool {
  readonly #maxBytes: number;
  #usedBytes = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Charges the growth of a response; returns false if the pool is used up. */
  tryGrow(fromBytes: number, toBytes: number): boolean {
    const growthBytes = chargedBytes(toBytes) - chargedBytes(fromBytes);
    if (this.#usedBytes + growthBytes > this.#maxBytes) return false;
    this.#usedBytes += growthBytes;
    return true;
  }

  /** Returns what a response of the given size was charged. */
  release(bytes: number): void {
    this.#usedBytes -= chargedBytes(bytes);
  }
}

function chargedBytes(bytes: number): number {
  return Math.max(0, bytes - UNCHARGED_BYTES);
}
