/** Configuration publications on the log service, and the rules for accepting them. */
import type { Configuration } from "../../settings/common/gen/configuration.ts";
import { SettingsError } from "../../settings/common/settings_text.ts";
import { parseConfiguration } from "../../settings/common/validation.ts";
import type { ILogEntry } from "../../log/common/log_service.ts";

/** Base version of the first publication. */
export const NO_VERSION = -1;

/** An entry of the configuration stream. */
export interface IPublication {
  /** Version that the document was derived from; {@link NO_VERSION} for the first publication. */
  readonly base: number;
  readonly author: string;
  /** JSON with comments, as the author wrote it. */
  readonly document: string;
  /** Set on checkpoints: the version that the entry repeats for readers that start later. */
  readonly checkpointOf?: number;
}

export enum PublicationVerdict {
  Accepted = "accepted",
  /** The base version is not the one in force. */
  StaleBase = "stale-base",
  Invalid = "invalid",
  /** A checkpoint of the version in force or of an older one. */
  RedundantCheckpoint = "repeat",
}

/** An accepted configuration. */
export interface IAcceptedConfiguration {
  /** Offset of the publication. */
  readonly version: number;
  readonly author: string;
  readonly document: string;
  readonly configuration: Configuration;
}

export interface IPublicationResult {
  readonly verdict: PublicationVerdict;
  readonly detail: string;
  /** Configuration in force after the entry. */
  readonly current: IAcceptedConfiguration | undefined;
}

/** Encodes a publication for the log service. */
export function encodePublication(publication: IPublication): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(publication));
}

/** State of a reader when it evaluates an entry. */
export interface IEvaluationState {
  readonly current: IAcceptedConfiguration | undefined;
  /** Whether the reader has read the stream from its first entry, and so cannot have missed a version. */
  readonly isFromStart: boolean;
}

/**
 * Evaluates an entry of the stream against the configuration in force. Deterministic, so that all
 * readers get the same result.
 */
export function evaluatePublication(
  entry: ILogEntry,
  { current, isFromStart }: IEvaluationState,
): IPublicationResult {
  const publication = decodePublication(entry);
  if (publication === undefined) {
    return { verdict: PublicationVerdict.Invalid, detail: "not a publication", current };
  }
  const base = current?.version ?? NO_VERSION;
  const { checkpointOf } = publication;
  const version = checkpointOf ?? entry.offset;
  if (checkpointOf !== undefined && checkpointOf <= base) {
    return { verdict: PublicationVerdict.RedundantCheckpoint, detail: "", current };
  }
  const hasKnownBase = current !== undefined || isFromStart;
  if (checkpointOf === undefined && (publication.base !== base || !hasKnownBase)) {
    const by = current === undefined ? "" : ` by ${current.author}`;
    const detail = `made from version ${publication.base}, but version ${base} is in force${by}`;
    return { verdict: PublicationVerdict.StaleBase, detail, current };
  }
  try {
    const { author, document } = publication;
    const configuration = parseConfiguration(document, "configuration");
    return {
      verdict: PublicationVerdict.Accepted,
      detail: "",
      current: { version, author, document, configuration },
    };
  } catch (err) {
    if (!(err instanceof SettingsError)) throw err;
    return { verdict: PublicationVerdict.Invalid, detail: err.message, current };
  }
}

function decodePublication(entry: ILogEntry): IPublication | undefined {
  try {
    const value = JSON.parse(new TextDecoder().decode(entry.data)) as Partial<IPublication> | null;
    if (typeof value?.base !== "number" || typeof value.document !== "string") return undefined;
    return { ...value, author: String(value.author ?? "unknown") } as IPublication;
  } catch {
    return undefined;
  }
}
