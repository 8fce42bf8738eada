/** Receives a response body as a whole before it is relayed. */
import { Deferred, Effect } from "effect";
import { ByteBuffer } from "../../base/common/byte_buffer.ts";
import { UpstreamError, UpstreamFault } from "./opaque_request.ts";
import type { ILimitedReceiver, IResponseLimits, ResponseMemoryPool } from "./response_limits.ts";

export class BufferedBody implements ILimitedReceiver {
  readonly #limits: IResponseLimits;
  readonly #pool: ResponseMemoryPool;
  readonly #exceeded = Deferred.makeUnsafe<never, UpstreamError>();
  readonly #buffer = new ByteBuffer();
  #isExceeded = false;

  constructor(limits: IResponseLimits, pool: ResponseMemoryPool) {
    this.#limits = limits;
    this.#pool = pool;
  }

  get isExceeded(): boolean {
    return this.#isExceeded;
  }

  push(chunk: Uint8Array): void {
    if (this.#isExceeded) return;
    const bytes = this.#buffer.length + chunk.length;
    if (bytes > this.#limits.maxResponseBytes || !this.#pool.tryGrow(this.#buffer.length, bytes)) {
      this.#isExceeded = true;
      Deferred.doneUnsafe(this.#exceeded, Effect.fail(new UpstreamError(UpstreamFault.TooLarge)));
      return;
    }
    this.#buffer.append(chunk);
  }

  failWhenExceeded(): Effect.Effect<never, UpstreamError> {
    return Deferred.await(this.#exceeded);
  }

  /** The bytes received so far. */
  get bytes(): Uint8Array {
    return this.#buffer.view();
  }

  /** Releases the memory; further chunks are ignored. */
  dispose(): void {
    this.#isExceeded = true;
    this.#pool.release(this.#buffer.take().length);
  }
}
