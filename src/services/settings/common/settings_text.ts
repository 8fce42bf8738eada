/** Parses and validates settings in JSON with comments. Errors name the position and the allowed values. */
import type { ErrorObject, ValidateFunction } from "ajv";
import type { Node, ParseError } from "jsonc-parser";
import { findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode } from "jsonc-parser";
import VError from "verror";

/** One syntax or validation error in a settings text. */
export interface ISettingsIssue {
  /** 1-based, as is the column. */
  readonly line: number;
  readonly column: number;
  /** Path of the key, such as `presets.peak.maxQueueMs`. */
  readonly key: string;
  readonly found: string;
  readonly allowed: string;
}

export class SettingsError extends VError {
  readonly _tag = "SettingsError";
  readonly issues: readonly ISettingsIssue[];

  constructor(source: string, issues: readonly ISettingsIssue[]) {
    super({ name: "SettingsError" }, "%s", issues.map((issue) => formatIssue(source, issue)).join("\n"));
    this.issues = issues;
  }
}

/** Parses and validates a settings text; `source` names the text in errors. */
export function parseSettings<T>(text: string, opts: { source: string; validate: ValidateFunction<T> }): T {
  const root = parseSettingsTree(text, opts.source);
  return validateValue(getNodeValue(root) as unknown, { ...opts, text, root });
}

/** Parses a settings text without validating it. */
export function parseSettingsTree(text: string, source: string): Node {
  const errors: ParseError[] = [];
  const root = parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length === 0 && root !== undefined) return root;
  const issues = errors.map(({ error, offset }) => ({
    ...lineAndColumn(text, offset),
    key: "",
    found: printParseErrorCode(error),
    allowed: "JSON with comments",
  }));
  if (issues.length > 0) throw new SettingsError(source, issues);
  throw new SettingsError(source, [{
    line: 1,
    column: 1,
    key: "",
    found: "nothing",
    allowed: "JSON with comments",
  }]);
}

/** Validates a value that was parsed from a text. */
export function validateValue<T>(
  value: unknown,
  opts: { source: string; text: string; root: Node; validate: ValidateFunction<T> },
): T {
  if (opts.validate(value)) return value;
  const issues = (opts.validate.errors ?? []).map((err) => toIssue(err, opts));
  throw new SettingsError(opts.source, issues);
}

function toIssue(err: ErrorObject, { text, root }: { text: string; root: Node }): ISettingsIssue {
  const path = err.instancePath.split("/").slice(1).map(unescapePointer);
  const unknownKey = err.keyword === "additionalProperties" ? [err.params.additionalProperty as string] : [];
  const fullPath = [...path, ...unknownKey];
  const node = findNodeAtLocation(root, toJsonPath(fullPath)) ?? root;
  const found = err.keyword === "required" ? "nothing" : JSON.stringify(getNodeValue(node));
  const missing = err.keyword === "required" ? [err.params.missingProperty as string] : [];
  return {
    ...positionOf(text, node),
    key: [...fullPath, ...missing].join("."),
    found: truncate(found),
    allowed: describeAllowed(err),
  };
}

function toJsonPath(path: readonly string[]): (string | number)[] {
  return path.map((part) => /^\d+$/.test(part) ? Number(part) : part);
}

function unescapePointer(part: string): string {
  return part.replaceAll("~1", "/").replaceAll("~0", "~");
}

function describeAllowed(err: ErrorObject): string {
  const schema = err.parentSchema as { minimum?: number; maximum?: number; type?: string; enum?: unknown[] };
  switch (err.keyword) {
    case "required":
      return `the key ${err.params.missingProperty} is required`;
    case "additionalProperties":
      return `one of ${
        Object.keys((err.parentSchema as { properties?: object }).properties ?? {}).join(", ")
      }`;
    case "enum":
      return `one of ${schema.enum?.join(", ")}`;
    case "minimum":
    case "maximum":
      return `${schema.type} from ${schema.minimum ?? "any"} to ${schema.maximum ?? "any"}`;
    default:
      return err.message ?? err.keyword;
  }
}

/** Line and column of a node in its text. */
export function positionOf(text: string, node: Node): { line: number; column: number } {
  return lineAndColumn(text, node.offset);
}

function lineAndColumn(text: string, offset: number): { line: number; column: number } {
  const before = text.slice(0, offset).split("\n");
  return { line: before.length, column: before[before.length - 1].length + 1 };
}

const MAX_FOUND_LENGTH = 80;

function truncate(text: string): string {
  return text.length <= MAX_FOUND_LENGTH ? text : `${text.slice(0, MAX_FOUND_LENGTH)}…`;
}

function formatIssue(source: string, { line, column, key, found, allowed }: ISettingsIssue): string {
  const name = key === "" ? "" : `${key}: `;
  return `${source}:${line}:${column}: ${name}found ${found}, allowed: ${allowed}`;
}
