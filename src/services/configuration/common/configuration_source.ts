/** The configuration in force, as the rest of the system reads it. */
import type { Configuration, Preset } from "../../settings/common/gen/configuration.ts";

export interface IConfigurationSource {
  /** Offset of the accepted publication, or -1 before there is one. */
  readonly version: number;
  readonly current: Configuration | undefined;
  /** The one preset in force. */
  readonly preset: Preset;
  readonly presetName: string;
}
