/** What the check of a routing configuration reports, and what it needs to know about the file. */
import type { IRoutingConfiguration } from "../../services/routes/common/route_table.ts";

export enum Severity {
  /** Instances reject the configuration, or an entry cannot work as stated. */
  Error = "error",
  /** An entry has no effect, contradicts another, or takes something from callers. */
  Warning = "warning",
  /** A difference that takes nothing from callers. */
  Note = "note",
}

/** Rules by their names in the JSON output, which scripts may use. */
export enum Rule {
  Unreadable = "unreadable",
  MissingField = "missing-field",
  InvalidField = "invalid-field",
  /** Instances reject the configuration as a whole. Other findings give the reason. */
  Rejected = "rejected",
  RepeatedField = "repeated-field",
  DuplicateName = "duplicate-name",
  DuplicateKey = "duplicate-key",
  UnknownService = "unknown-service",
  NonPositiveTimeLimit = "non-positive-time-limit",
  NoWeightedService = "no-weighted-service",
  IgnoredService = "ignored-service",
  NeverMatches = "never-matches",
  NoKey = "no-key",
  NoWeight = "no-weight",
  UnusedService = "unused-service",
  TimeLimitBelowTarget = "time-limit-below-target",
  TimeLimitBelowAttempts = "time-limit-below-attempts",
  AttemptsOfOnceOnly = "attempts-of-once-only",
  BurstBelowOne = "burst-below-one",
  BurstWithoutRate = "burst-without-rate",
  AllotmentAboveCapacity = "allotment-above-capacity",
  VersionNotNewer = "version-not-newer",
  Difference = "difference",
}

export enum EntryKind {
  Route = "route",
  Service = "service",
  Organisation = "organisation",
  Limits = "limits",
  Configuration = "configuration",
}

/** Position in a file; line and column begin at 1. */
export interface IPosition {
  readonly line: number;
  readonly column: number;
}

export interface IFinding extends IPosition {
  readonly severity: Severity;
  readonly rule: Rule;
  readonly kind: EntryKind;
  /** Name of the entry; empty for kinds with one entry only. */
  readonly name: string;
  /** One sentence. Contains no API key, only the first characters of its digest. */
  readonly message: string;
}

/** Fields whose positions findings state, by their names in {@link IRoutingConfiguration} and its parts. */
export type EntryField =
  | "name"
  | "host"
  | "prefix"
  | "kind"
  | "service"
  | "services"
  | "timeoutMs"
  | "targetMs"
  | "maxPauseMs"
  | "priority"
  | "attempts"
  | "isSticky"
  | "isResumable"
  | "keepsHistory"
  | "retainMs"
  | "isPublic"
  | "maxConnections"
  | "engine"
  | "keys"
  | "perSecond"
  | "burst"
  | "maxBodyBytes"
  | "headerTimeoutMs"
  | "idleTimeoutMs"
  | "version";

/** Names a part of a configuration. Without an index it is the list of all entries of the kind. */
export interface IEntryPart {
  readonly kind: EntryKind;
  readonly index?: number;
  readonly field?: EntryField;
  /** Index in the list of the field, for example of a weighted service. */
  readonly item?: number;
}

/** A configuration as read from a file. */
export interface IConfigurationText {
  /** What an instance makes of the file; undefined if it rejects it. */
  readonly configuration: IRoutingConfiguration | undefined;
  /** Deviations from the form that a configuration has. */
  readonly defects: readonly IFinding[];
  /** Names of all entries of a kind, in the order of the file. */
  namesOf(kind: EntryKind): readonly string[];
  /** Returns undefined if the file does not state the part. */
  positionOf(part: IEntryPart): IPosition | undefined;
}

/** Reads a configuration. Implemented by the adapter to a platform, because only it knows the platform's names. */
export type ConfigurationReader = (value: Uint8Array) => IConfigurationText;

/** Returns the position of the first part that the file states, or the start of the file. */
export function firstPosition(text: IConfigurationText, parts: readonly IEntryPart[]): IPosition {
  for (const part of parts) {
    const position = text.positionOf(part);
    if (position !== undefined) return position;
  }
  return { line: 1, column: 1 };
}

export function hasErrors(findings: readonly IFinding[]): boolean {
  return findings.some(({ severity }) => severity === Severity.Error);
}
