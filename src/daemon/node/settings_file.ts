/** Loads a daemon's settings file and the key files that it refers to. */
import { readFileSync } from "node:fs";
import { dirname, resolve } from "node:path";
import VError from "verror";
import { ApiKeyStore } from "../../entry/node/api_key_store.ts";
import type { DaemonSettings } from "../../services/settings/common/gen/daemon_settings.ts";
import { parseDaemonSettings } from "../../services/settings/common/validation.ts";

export class SettingsFileError extends VError {
  readonly _tag = "SettingsFileError";

  constructor(path: string, cause: Error) {
    super({ name: "SettingsFileError", cause }, "%s cannot be read", path);
  }
}

export interface ILoadedSettings {
  readonly settings: DaemonSettings;
  readonly customers: ApiKeyStore;
  readonly operators: ApiKeyStore;
}

/** Loads and validates a settings file; throws a typed error with the cause if it is unusable. */
export function loadSettings(path: string): ILoadedSettings {
  const settings = parseDaemonSettings(readText(path), path);
  const resolveFromSettings = (file: string) => resolve(dirname(path), file);
  return {
    settings,
    customers: ApiKeyStore.fromFile(resolveFromSettings(settings.keys.customersFile)),
    operators: ApiKeyStore.fromFile(resolveFromSettings(settings.keys.operatorsFile)),
  };
}

function readText(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch (err) {
    throw new SettingsFileError(path, err as Error);
  }
}
