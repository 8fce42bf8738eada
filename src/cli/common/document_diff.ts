/** Compares two configurations key by key. */
import type { Configuration } from "../../services/settings/common/gen/configuration.ts";

export interface IDifference {
  readonly key: string;
  readonly from: string;
  readonly to: string;
}

/** Lists the key paths whose values differ, with defaults applied. */
export function diffConfigurations(from: Configuration, to: Configuration): IDifference[] {
  const before = flatten(from);
  const after = flatten(to);
  const keys = [...new Set([...before.keys(), ...after.keys()])].sort();
  return keys
    .map((key) => ({ key, from: before.get(key) ?? "-", to: after.get(key) ?? "-" }))
    .filter((difference) => difference.from !== difference.to);
}

function flatten(value: unknown, path = ""): Map<string, string> {
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    return new Map([[path, JSON.stringify(value)]]);
  }
  const entries = Object.entries(value).map(([name, child]) =>
    flatten(child, path === "" ? name : `${path}.${name}`)
  );
  return new Map(entries.flatMap((entry) => [...entry]));
}
