/** Read access to the configuration in force. */
import type { Configuration, Preset } from "../../settings/common/gen/configuration.ts";

export interface IConfigurationSource {
  /** Offset of the accepted publication; -1 before the first one. */
  readonly version: number;
  readonly current: Configuration | undefined;
  /** The active preset; a built-in one until a configuration has been read. */
  readonly preset: Preset;
  readonly presetName: string;
}
