/** Validation of a gateway's settings, by a validator that was generated beforehand. */
import type { ValidateFunction } from "ajv";
import type { GatewaySettings } from "./gen/gateway_settings.ts";
import { validate } from "./gen/gateway_validator.ts";
import { parseSettings } from "./settings_text.ts";

/** Parses and validates the settings of a gateway; `source` names the text in errors. */
export function parseGatewaySettings(text: string, source: string): GatewaySettings {
  return parseSettings(text, { source, validate: validate as unknown as ValidateFunction<GatewaySettings> });
}
