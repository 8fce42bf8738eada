/**
 * Identity of a request across its caller's retries, which have different request ids, and across runs of its
 * program, which have different program and session ids.
 */
import { hash64, hashBytes64 } from "../../base/common/hash.ts";
import type { IOpaqueRequest } from "./opaque_request.ts";
import type { IRequestKey } from "./request_keys.ts";
import { sharedKeysOf } from "./request_keys.ts";

/** The part of a request that all its returns share. */
export interface IRequestContent {
  readonly method: string;
  readonly host: string;
  readonly target: string;
  readonly body: Uint8Array;
  /** Object that the request concerns; empty if it states none. */
  readonly affinityKey: string;
  /** Ids of the parts of the prompt, in order; none by default. */
  readonly promptPartIds?: readonly string[];
}

export class RequestIdentity {
  readonly #content: IRequestContent;
  #fingerprint: bigint | undefined;
  #sharedKeys: readonly IRequestKey[] | undefined;

  constructor(content: IRequestContent) {
    this.#content = content;
  }

  static of({ method, host, target, body, affinityKey = "", prompt }: IOpaqueRequest): RequestIdentity {
    const promptPartIds = prompt?.parts.map(({ id }) => id);
    return new RequestIdentity({ method, host, target, body, affinityKey, promptPartIds });
  }

  /** Log fields that show what two requests have in common. */
  get logFields(): object {
    const { target, affinityKey } = this.#content;
    return { target, affinityKey: affinityKey === "" ? undefined : affinityKey };
  }

  /** Keys that other requests can share, computed on first use. */
  get sharedKeys(): readonly IRequestKey[] {
    const { promptPartIds = [], ...content } = this.#content;
    this.#sharedKeys ??= sharedKeysOf({ ...content, promptPartIds });
    return this.#sharedKeys;
  }

  /** Hash of the content, computed on first use. */
  get fingerprint(): bigint {
    const { method, host, target, body, affinityKey } = this.#content;
    this.#fingerprint ??= hashBytes64(body, hash64(JSON.stringify([method, host, target, affinityKey])));
    return this.#fingerprint;
  }
}
