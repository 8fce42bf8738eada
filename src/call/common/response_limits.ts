/** Limits on the responses of backend servers, which may send bytes without end. */
import { Effect } from "effect";
import type { IResponseBody, UpstreamError } from "./opaque_request.ts";

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

/** Passes a body to its receiver. Closes the connection as soon as the receiver's limits are exceeded. */
export function readInto(
  receiver: ILimitedReceiver,
  body: IResponseBody,
): Effect.Effect<void, UpstreamError> {
  const read = body.read((chunk) => receiver.push(chunk));
  // The last chunk may exceed a limit at the moment at which the body ends.
  const checked = Effect.andThen(read, () => receiver.isExceeded ? receiver.failWhenExceeded() : Effect.void);
  return Effect.raceFirst(checked, receiver.failWhenExceeded());
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
