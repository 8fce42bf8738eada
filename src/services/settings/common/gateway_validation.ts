/** Validation of a gateway's settings, with a generated validator so that the start does not compile one. */
import type { ValidateFunction } from "ajv";
import type { GatewaySettings } from "./gen/gateway_settings.ts";
import { validate } from "./gen/gateway_validator.ts";
import { parseSettings } from "./settings_text.ts";

/** Parses and validates the settings of a gateway; `source` names the text in errors. */
export function parseGatewaySettings(text: string, source: string): GatewaySettings {
  return parseSettings(text, { source, validate: validate as unknown as ValidateFunction<GatewaySettings> });
}
