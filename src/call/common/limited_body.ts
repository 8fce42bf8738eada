/** Receives a response body up to the limits of its size and of the memory for all responses. */
import { Deferred, Effect } from "effect";
import { UpstreamError, UpstreamFault } from "./opaque_request.ts";
import type { ILimitedReceiver, IResponseLimits, ResponseMemoryPool } from "./response_limits.ts";

export interface ILimitedBodyOptions {
  readonly limits: Pick<IResponseLimits, "maxResponseBytes">;
  readonly pool: ResponseMemoryPool;
  /** Receives what is within the limits. */
  readonly onChunk: (chunk: Uint8Array) => void;
}

export class LimitedBody implements ILimitedReceiver {
  readonly #opts: ILimitedBodyOptions;
  readonly #exceeded = Deferred.makeUnsafe<never, UpstreamError>();
  #bytes = 0;
  #isExceeded = false;

  constructor(opts: ILimitedBodyOptions) {
    this.#opts = opts;
  }

  get isExceeded(): boolean {
    return this.#isExceeded;
  }

  push(chunk: Uint8Array): void {
    if (this.#isExceeded) return;
    const { limits, pool, onChunk } = this.#opts;
    const bytes = this.#bytes + chunk.length;
    if (bytes > limits.maxResponseBytes || !pool.tryGrow(this.#bytes, bytes)) {
      this.#isExceeded = true;
      Deferred.doneUnsafe(this.#exceeded, Effect.fail(new UpstreamError(UpstreamFault.TooLarge)));
      return;
    }
    this.#bytes = bytes;
    onChunk(chunk);
  }

  failWhenExceeded(): Effect.Effect<never, UpstreamError> {
    return Deferred.await(this.#exceeded);
  }

  /** Releases the memory; further chunks are ignored. */
  dispose(): void {
    this.#isExceeded = true;
    this.#opts.pool.release(this.#bytes);
    this.#bytes = 0;
  }
}
