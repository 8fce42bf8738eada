/** Differences between two configurations, by the path of the key. */
import type { Configuration } from "../../services/settings/common/gen/configuration.ts";

export interface IDifference {
  readonly key: string;
  readonly from: string;
  readonly to: string;
}

/** Lists the keys whose values differ, defaults filled in. */
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
  const parts = Object.entries(value).map(([name, child]) =>
    flatten(child, path === "" ? name : `${path}.${name}`)
  );
  return new Map(parts.flatMap((part) => [...part]));
}
