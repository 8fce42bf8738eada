/** Identity of a request across its caller's retries, which have different request ids. */
import { hash64, hashBytes64 } from "../../base/common/hash.ts";
import type { IOpaqueRequest } from "./opaque_request.ts";

/** The part of a request that its caller's retries share. */
export interface IRequestContent {
  readonly method: string;
  readonly host: string;
  readonly target: string;
  readonly body: Uint8Array;
  /** Session or affinity key of the sender; empty if the request has none. */
  readonly caller: string;
}

export class RequestIdentity {
  readonly #content: IRequestContent;
  #fingerprint: bigint | undefined;

  constructor(content: IRequestContent) {
    this.#content = content;
  }

  static of({ method, host, target, body, program, affinityKey }: IOpaqueRequest): RequestIdentity {
    return new RequestIdentity({
      method,
      host,
      target,
      body,
      caller: program?.sessionId ?? affinityKey ?? "",
    });
  }

  /** Whether the request states its sender, so that nobody else sends an equal one. */
  get hasCaller(): boolean {
    return this.#content.caller !== "";
  }

  /** Log fields that show which parts of two requests are the same. */
  get logFields(): object {
    const { method, host, target, body, caller } = this.#content;
    const content = hashBytes64(body, hash64(JSON.stringify([method, host, target])));
    return { target, content: content.toString(16).padStart(16, "0"), caller };
  }

  /** Hash of the content. Computed on first use, since most requests never need it. */
  get fingerprint(): bigint {
    const { method, host, target, body, caller } = this.#content;
    this.#fingerprint ??= hashBytes64(body, hash64(JSON.stringify([method, host, target, caller])));
    return this.#fingerprint;
  }
}
