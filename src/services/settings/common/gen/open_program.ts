// Generated from schema/ by scripts/generate_schemas.ts.

/**
 * Body of a request that opens a program.
 */
export interface OpenProgramBody {
  /**
   * Kind of the program, from the configuration.
   */
  kind: string;
  /**
   * Program on whose budget this one draws.
   */
  parent: string;
  /**
   * Unix time in ms by which the program should be done; 0 for none.
   */
  deadline_ms: number;
  /**
   * Limits of the program, at most those of its kind; 0 takes the kind's.
   */
  budget: {
    /**
     * Tokens that engines may generate.
     */
    generated_tokens: number;
    /**
     * Calls.
     */
    calls: number;
    /**
     * Time from opening, in ms.
     */
    wall_ms: number;
  };
}

/** JSON Schema of the settings above. */
export const OPEN_PROGRAM_SCHEMA = {
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "OpenProgramBody",
  "description": "Body of a request that opens a program.",
  "type": "object",
  "additionalProperties": false,
  "required": [
    "kind"
  ],
  "properties": {
    "kind": {
      "type": "string",
      "minLength": 1,
      "maxLength": 64,
      "description": "Kind of the program, from the configuration."
    },
    "parent": {
      "type": "string",
      "maxLength": 128,
      "default": "",
      "description": "Program on whose budget this one draws."
    },
    "deadline_ms": {
      "type": "integer",
      "minimum": 0,
      "maximum": 9007199254740991,
      "default": 0,
      "description": "Unix time in ms by which the program should be done; 0 for none."
    },
    "budget": {
      "type": "object",
      "additionalProperties": false,
      "default": {},
      "description": "Limits of the program, at most those of its kind; 0 takes the kind's.",
      "properties": {
        "generated_tokens": {
          "type": "integer",
          "minimum": 0,
          "maximum": 4294967295,
          "default": 0,
          "description": "Tokens that engines may generate."
        },
        "calls": {
          "type": "integer",
          "minimum": 0,
          "maximum": 4294967295,
          "default": 0,
          "description": "Calls."
        },
        "wall_ms": {
          "type": "integer",
          "minimum": 0,
          "maximum": 4294967295,
          "default": 0,
          "description": "Time from opening, in ms."
        }
      }
    }
  }
};
