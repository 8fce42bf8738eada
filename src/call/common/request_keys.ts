/** Keys of the parts of a request's content, by which requests that share some of them are recognized. */
import { hash64, hashBytes64 } from "../../base/common/hash.ts";

/** Parts of a request's content, as bits of a set. */
export enum ContentPart {
  /** Method, host and target. */
  Target = 1,
  Body = 2,
  AffinityKey = 4,
  FirstPromptPart = 8,
  SecondPromptPart = 16,
  ThirdPromptPart = 32,
}

const PROMPT_PARTS = [ContentPart.FirstPromptPart, ContentPart.SecondPromptPart, ContentPart.ThirdPromptPart];
/** Parts that are the same in all returns of one request. */
const EXACT_PARTS = ContentPart.Target | ContentPart.Body | ContentPart.AffinityKey;
/** Distinguishes the hashes of bodies from those of other parts. */
const BODY_SEED = 1n;

const PART_NAMES: readonly (readonly [ContentPart, string])[] = [
  [ContentPart.Target, "target"],
  [ContentPart.Body, "body"],
  [ContentPart.AffinityKey, "affinity-key"],
  [ContentPart.FirstPromptPart, "prompt-part-1"],
  [ContentPart.SecondPromptPart, "prompt-part-2"],
  [ContentPart.ThirdPromptPart, "prompt-part-3"],
];

/** Key of one part of a request's content, or of two together. */
export interface IRequestKey {
  readonly hash: bigint;
  /** Bit set of {@link ContentPart}. */
  readonly parts: number;
}

export interface IKeyedContent {
  readonly method: string;
  readonly host: string;
  readonly target: string;
  readonly body: Uint8Array;
  /** Object that the request concerns; empty if it states none. */
  readonly affinityKey: string;
  /** Ids of the parts of the prompt, in order. */
  readonly promptPartIds: readonly string[];
}

/** Returns the keys of a request that other requests can share: those of single parts and of pairs of them. */
export function sharedKeysOf(content: IKeyedContent): IRequestKey[] {
  const singles = singleKeysOf(content);
  const exactParts = singles.reduce((parts, key) => parts | key.parts, 0) & EXACT_PARTS;
  const pairs = singles.flatMap((first, index) =>
    singles.slice(index + 1).map((second) => ({
      hash: hash64(`${first.hash}/${second.hash}`),
      parts: first.parts | second.parts,
    }))
  );
  // The request's fingerprint already identifies those that share all of its exact parts.
  return [...singles, ...pairs].filter(({ parts }) => (parts & exactParts) !== exactParts);
}

function singleKeysOf(
  { method, host, target, body, affinityKey, promptPartIds }: IKeyedContent,
): IRequestKey[] {
  const keys = [{ hash: hash64(JSON.stringify([method, host, target])), parts: ContentPart.Target }];
  if (body.length > 0) keys.push({ hash: hashBytes64(body, BODY_SEED), parts: ContentPart.Body });
  if (affinityKey !== "") {
    keys.push({ hash: hash64(`affinity ${affinityKey}`), parts: ContentPart.AffinityKey });
  }
  promptPartIds.slice(0, PROMPT_PARTS.length).forEach((id, index) =>
    keys.push({ hash: hash64(`prompt ${id}`), parts: PROMPT_PARTS[index] })
  );
  return keys;
}

/** Names of a key's parts for the log, for example "target+body". */
export function formatParts(parts: number): string {
  return PART_NAMES.filter(([part]) => (parts & part) !== 0).map(([, name]) => name).join("+");
}
