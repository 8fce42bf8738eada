// Generated from schema/ by scripts/generate_schemas.ts.

/**
 * Body of a request that opens a program.
 */
export interface OpenProgramBody {
  /**
   * Name of a program kind in the configuration.
   */
  kind: string;
  /**
   * Id of the program whose budget this program shares; empty for none.
   */
  parent: string;
  /**
   * Unix time in ms by which the program should complete; 0 for none.
   */
  deadline_ms: number;
  /**
   * Limits of the program, capped by those of its kind; 0 uses the kind's limit.
   */
  budget: {
    /**
     * Maximum number of generated tokens.
     */
    generated_tokens: number;
    /**
     * Maximum number of calls.
     */
    calls: number;
    /**
     * Maximum time from opening the program to its last call, in ms.
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
      "description": "Name of a program kind in the configuration."
    },
    "parent": {
      "type": "string",
      "maxLength": 128,
      "default": "",
      "description": "Id of the program whose budget this program shares; empty for none."
    },
    "deadline_ms": {
      "type": "integer",
      "minimum": 0,
      "maximum": 9007199254740991,
      "default": 0,
      "description": "Unix time in ms by which the program should complete; 0 for none."
    },
    "budget": {
      "type": "object",
      "additionalProperties": false,
      "default": {},
      "description": "Limits of the program, capped by those of its kind; 0 uses the kind's limit.",
      "properties": {
        "generated_tokens": {
          "type": "integer",
          "minimum": 0,
          "maximum": 4294967295,
          "default": 0,
          "description": "Maximum number of generated tokens."
        },
        "calls": {
          "type": "integer",
          "minimum": 0,
          "maximum": 4294967295,
          "default": 0,
          "description": "Maximum number of calls."
        },
        "wall_ms": {
          "type": "integer",
          "minimum": 0,
          "maximum": 4294967295,
          "default": 0,
          "description": "Maximum time from opening the program to its last call, in ms."
        }
      }
    }
  }
};
