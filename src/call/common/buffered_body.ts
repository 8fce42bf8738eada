/** Receives a response body as a whole before it is relayed. */
import type { Effect } from "effect";
import { ByteBuffer } from "../../base/common/byte_buffer.ts";
import { LimitedBody } from "./limited_body.ts";
import type { UpstreamError } from "./opaque_request.ts";
import type { ILimitedReceiver, IResponseLimits, ResponseMemoryPool } from "./response_limits.ts";

export class BufferedBody implements ILimitedReceiver {
  readonly #buffer = new ByteBuffer();
  readonly #received: LimitedBody;

  constructor(limits: IResponseLimits, pool: ResponseMemoryPool) {
    const onChunk = (chunk: Uint8Array) => this.#buffer.append(chunk);
    this.#received = new LimitedBody({ limits, pool, onChunk });
  }

  get isExceeded(): boolean {
    return this.#received.isExceeded;
  }

  push(chunk: Uint8Array): void {
    this.#received.push(chunk);
  }

  failWhenExceeded(): Effect.Effect<never, UpstreamError> {
    return this.#received.failWhenExceeded();
  }

  /** The bytes received so far. */
  get bytes(): Uint8Array {
    return this.#buffer.view();
  }

  /** Releases the memory; further chunks are ignored. */
  dispose(): void {
    this.#received.dispose();
    this.#buffer.take();
  }
}
