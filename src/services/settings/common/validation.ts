/** Validation of daemon settings and of configurations. */
import { Ajv } from "ajv";
import { findNodeAtLocation, getNodeValue } from "jsonc-parser";
import { CONFIGURATION_SCHEMA } from "./gen/configuration.ts";
import type { Configuration } from "./gen/configuration.ts";
import { DAEMON_SCHEMA } from "./gen/daemon_settings.ts";
import type { DaemonSettings } from "./gen/daemon_settings.ts";
import {
  parseSettings,
  parseSettingsTree,
  positionOf,
  SettingsError,
  validateValue,
} from "./settings_text.ts";

const ajv = new Ajv({ allErrors: true, useDefaults: true, verbose: true });
const validateDaemon = ajv.compile<DaemonSettings>(DAEMON_SCHEMA);
const validateConfiguration = ajv.compile<Configuration>(CONFIGURATION_SCHEMA);

/** Parses and validates the settings of a daemon; `source` names the text in errors. */
export function parseDaemonSettings(text: string, source: string): DaemonSettings {
  return parseSettings(text, { source, validate: validateDaemon });
}

/** Parses and validates a configuration; `source` names the text in errors. */
export function parseConfiguration(text: string, source: string): Configuration {
  const root = parseSettingsTree(text, source);
  const cfg = validateValue(getNodeValue(root) as unknown, {
    source,
    text,
    root,
    validate: validateConfiguration,
  });
  if (cfg.presets[cfg.activePreset] !== undefined) return cfg;
  const position = positionOf(text, findNodeAtLocation(root, ["activePreset"]) ?? root);
  const allowed = `one of ${Object.keys(cfg.presets).join(", ")}`;
  throw new SettingsError(source, [{ ...position, key: "activePreset", found: cfg.activePreset, allowed }]);
}
