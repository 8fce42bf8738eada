// Generated from schema/ by scripts/generate_schemas.ts.

/**
 * Configuration of a deployment, published through the log service and applied by every instance.
 */
export interface Configuration {
  /**
   * Name of the deployment.
   */
  deployment: string;
  /**
   * Name of the active preset; a key of presets.
   */
  activePreset: string;
  /**
   * Presets by name.
   */
  presets: {
    [k: string]: Preset;
  };
  /**
   * Kinds of program by name.
   */
  programKinds: {
    [k: string]: ProgramKind;
  };
  /**
   * Customers by name. Customers that are not listed have weight 1.
   */
  customers: {
    [k: string]: Customer;
  };
  /**
   * Models that callers may use, by name.
   */
  models: {
    [k: string]: Model;
  };
  /**
   * Services other than models, by name.
   */
  services: {
    [k: string]: Service;
  };
  /**
   * How model placement orders are issued.
   */
  placement: {
    /**
     * Maximum number of concurrent model loads from the weight store.
     */
    loadsAtOnce: number;
    /**
     * Backend servers that do not check the fencing token of placement orders.
     */
    fencingIgnoredBy: string[];
  };
}
export interface Preset {
  /**
   * Weight of prefill time relative to waiting time in the choice of an engine.
   */
  cacheWeight: number;
  /**
   * Share by which the score of the engine with the program's cache may exceed the best score before another engine is chosen.
   */
  stayMargin: number;
  /**
   * Maximum expected waiting time of a call, in ms; calls that would wait longer are refused.
   */
  maxQueueMs: number;
  /**
   * Maximum number of concurrent calls on an engine, as a multiple of its slots.
   */
  engineOvercommit: number;
  /**
   * Waiting time, in ms, that raises a call by one class, and after which a new program may start although its history does not fit into the cache.
   */
  ageingMs: number;
  /**
   * Maximum number of retries, as a share of first attempts.
   */
  retryShare: number;
  /**
   * Time for which the cache of an idle program is retained under memory pressure, in ms.
   */
  keepKvMs: number;
  /**
   * Whether new programs are admitted.
   */
  admitNewPrograms: boolean;
}
export interface ProgramKind {
  /**
   * Priority class of the kind; calls of a lower class are served first.
   */
  class: number;
  /**
   * Maximum number of calls of a program.
   */
  maxTurns: number;
  /**
   * Time without a call after which a program is ended, in ms.
   */
  idleMs: number;
  /**
   * Maximum number of generated tokens of a program; also its budget if the caller sets none.
   */
  generatedTokens: number;
  /**
   * Maximum time from opening a program to its last call, in ms.
   */
  wallMs: number;
}
export interface Customer {
  /**
   * Relative share of the customer under contention.
   */
  weight: number;
}
export interface Model {
  /**
   * Maximum length of the history including the answer, in tokens.
   */
  maxContextTokens: number;
  /**
   * Maximum value of max_tokens in a call.
   */
  maxAnswerTokens: number;
  /**
   * Number of engines that should have the model loaded; 0 leaves placement to the engines.
   */
  replicas: number;
}
export interface Service {
  /**
   * Operations by name.
   */
  operations: {
    [k: string]: Operation;
  };
}
export interface Operation {
  /**
   * Whether the operation may be executed more than once for one call.
   */
  repeatable: boolean;
  /**
   * Timeout of a request to a backend server, in ms.
   */
  timeoutMs: number;
}

/** JSON Schema of the settings above. */
export const CONFIGURATION_SCHEMA = {
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Configuration",
  "description": "Configuration of a deployment, published through the log service and applied by every instance.",
  "type": "object",
  "additionalProperties": false,
  "required": [
    "deployment",
    "activePreset",
    "presets",
    "programKinds",
    "customers",
    "models",
    "services"
  ],
  "properties": {
    "deployment": {
      "type": "string",
      "minLength": 1,
      "maxLength": 64,
      "description": "Name of the deployment."
    },
    "activePreset": {
      "type": "string",
      "description": "Name of the active preset; a key of presets."
    },
    "presets": {
      "type": "object",
      "minProperties": 1,
      "description": "Presets by name.",
      "additionalProperties": {
        "$ref": "#/definitions/preset"
      }
    },
    "programKinds": {
      "type": "object",
      "minProperties": 1,
      "description": "Kinds of program by name.",
      "additionalProperties": {
        "$ref": "#/definitions/programKind"
      }
    },
    "customers": {
      "type": "object",
      "description": "Customers by name. Customers that are not listed have weight 1.",
      "additionalProperties": {
        "$ref": "#/definitions/customer"
      }
    },
    "models": {
      "type": "object",
      "minProperties": 1,
      "description": "Models that callers may use, by name.",
      "additionalProperties": {
        "$ref": "#/definitions/model"
      }
    },
    "services": {
      "type": "object",
      "description": "Services other than models, by name.",
      "additionalProperties": {
        "$ref": "#/definitions/service"
      }
    },
    "placement": {
      "type": "object",
      "additionalProperties": false,
      "default": {},
      "description": "How model placement orders are issued.",
      "properties": {
        "loadsAtOnce": {
          "type": "integer",
          "minimum": 1,
          "maximum": 64,
          "default": 2,
          "description": "Maximum number of concurrent model loads from the weight store."
        },
        "fencingIgnoredBy": {
          "type": "array",
          "items": {
            "type": "string"
          },
          "default": [],
          "description": "Backend servers that do not check the fencing token of placement orders."
        }
      }
    }
  },
  "definitions": {
    "preset": {
      "title": "Preset",
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "cacheWeight": {
          "type": "number",
          "minimum": 0,
          "maximum": 10,
          "default": 1,
          "description": "Weight of prefill time relative to waiting time in the choice of an engine."
        },
        "stayMargin": {
          "type": "number",
          "minimum": 0,
          "maximum": 1,
          "default": 0.2,
          "description": "Share by which the score of the engine with the program's cache may exceed the best score before another engine is chosen."
        },
        "maxQueueMs": {
          "type": "integer",
          "minimum": 1,
          "maximum": 600000,
          "default": 20000,
          "description": "Maximum expected waiting time of a call, in ms; calls that would wait longer are refused."
        },
        "engineOvercommit": {
          "type": "number",
          "minimum": 1,
          "maximum": 16,
          "default": 2,
          "description": "Maximum number of concurrent calls on an engine, as a multiple of its slots."
        },
        "ageingMs": {
          "type": "integer",
          "minimum": 100,
          "maximum": 3600000,
          "default": 30000,
          "description": "Waiting time, in ms, that raises a call by one class, and after which a new program may start although its history does not fit into the cache."
        },
        "retryShare": {
          "type": "number",
          "minimum": 0,
          "maximum": 1,
          "default": 0.2,
          "description": "Maximum number of retries, as a share of first attempts."
        },
        "keepKvMs": {
          "type": "integer",
          "minimum": 0,
          "maximum": 3600000,
          "default": 60000,
          "description": "Time for which the cache of an idle program is retained under memory pressure, in ms."
        },
        "admitNewPrograms": {
          "type": "boolean",
          "default": true,
          "description": "Whether new programs are admitted."
        }
      }
    },
    "programKind": {
      "title": "ProgramKind",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "class"
      ],
      "properties": {
        "class": {
          "type": "integer",
          "minimum": 0,
          "maximum": 9,
          "description": "Priority class of the kind; calls of a lower class are served first."
        },
        "maxTurns": {
          "type": "integer",
          "minimum": 1,
          "maximum": 10000,
          "default": 430,
          "description": "Maximum number of calls of a program."
        },
        "idleMs": {
          "type": "integer",
          "minimum": 1000,
          "maximum": 86400000,
          "default": 600000,
          "description": "Time without a call after which a program is ended, in ms."
        },
        "generatedTokens": {
          "type": "integer",
          "minimum": 1,
          "maximum": 100000000,
          "default": 100000,
          "description": "Maximum number of generated tokens of a program; also its budget if the caller sets none."
        },
        "wallMs": {
          "type": "integer",
          "minimum": 1000,
          "maximum": 604800000,
          "default": 3600000,
          "description": "Maximum time from opening a program to its last call, in ms."
        }
      }
    },
    "customer": {
      "title": "Customer",
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "weight": {
          "type": "number",
          "minimum": 0.01,
          "maximum": 1000,
          "default": 1,
          "description": "Relative share of the customer under contention."
        }
      }
    },
    "model": {
      "title": "Model",
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "maxContextTokens": {
          "type": "integer",
          "minimum": 16,
          "maximum": 10000000,
          "default": 280000,
          "description": "Maximum length of the history including the answer, in tokens."
        },
        "maxAnswerTokens": {
          "type": "integer",
          "minimum": 1,
          "maximum": 1000000,
          "default": 4096,
          "description": "Maximum value of max_tokens in a call."
        },
        "replicas": {
          "type": "integer",
          "minimum": 0,
          "maximum": 10000,
          "default": 0,
          "description": "Number of engines that should have the model loaded; 0 leaves placement to the engines."
        }
      }
    },
    "service": {
      "title": "Service",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "operations"
      ],
      "properties": {
        "operations": {
          "type": "object",
          "description": "Operations by name.",
          "additionalProperties": {
            "$ref": "#/definitions/operation"
          }
        }
      }
    },
    "operation": {
      "title": "Operation",
      "type": "object",
      "additionalProperties": false,
      "required": [
        "repeatable"
      ],
      "properties": {
        "repeatable": {
          "type": "boolean",
          "description": "Whether the operation may be executed more than once for one call."
        },
        "timeoutMs": {
          "type": "integer",
          "minimum": 10,
          "maximum": 3600000,
          "default": 10000,
          "description": "Timeout of a request to a backend server, in ms."
        }
      }
    }
  }
};
