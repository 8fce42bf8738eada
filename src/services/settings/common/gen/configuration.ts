// Generated from schema/ by scripts/generate_schemas.ts.

/**
 * Configuration of a deployment, published on the log service and in force on every instance.
 */
export interface Configuration {
  /**
   * Name of the deployment.
   */
  deployment: string;
  /**
   * Name of the preset in force; one of presets.
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
   * Customers by name; a customer that is not listed has weight 1.
   */
  customers: {
    [k: string]: Customer;
  };
  /**
   * Models that callers may name, with their replicas.
   */
  models: {
    [k: string]: Model;
  };
  /**
   * Plain services by name.
   */
  services: {
    [k: string]: Service;
  };
  /**
   * How placement orders are given.
   */
  placement: {
    /**
     * Model loads that may draw on the weight store at the same time.
     */
    loadsAtOnce: number;
    /**
     * Backend servers that do not check the fencing token of an order.
     */
    fencingIgnoredBy: string[];
  };
}
export interface Preset {
  /**
   * Weight of prefill work against waiting time in the choice of an engine.
   */
  cacheWeight: number;
  /**
   * Share by which another engine must be better than the one with the program's cache.
   */
  stayMargin: number;
  /**
   * A call whose expected wait is longer, in ms, is refused.
   */
  maxQueueMs: number;
  /**
   * Calls that may be under way on an engine, as a multiple of its slots.
   */
  engineOvercommit: number;
  /**
   * Waiting time, in ms, that lifts a call by one class, and after which a new program may start without room for its history.
   */
  ageingMs: number;
  /**
   * Retries as a share of first attempts.
   */
  retryShare: number;
  /**
   * Time for which the cache of a pausing program is kept, in ms, while memory is scarce.
   */
  keepKvMs: number;
  /**
   * Whether new programs are opened.
   */
  admitNewPrograms: boolean;
}
export interface ProgramKind {
  /**
   * Class of the kind; calls of a lower class go first.
   */
  class: number;
  /**
   * Most calls of one program.
   */
  maxTurns: number;
  /**
   * A program without a call for so long, in ms, is ended.
   */
  idleMs: number;
  /**
   * Most tokens that a program may have generated, and the budget when the caller gives none.
   */
  generatedTokens: number;
  /**
   * Longest time from opening to the last call, in ms.
   */
  wallMs: number;
}
export interface Customer {
  /**
   * Share of the customer under contention.
   */
  weight: number;
}
export interface Model {
  /**
   * Longest history with the answer, in tokens.
   */
  maxContextTokens: number;
  /**
   * Largest max_tokens of a call.
   */
  maxAnswerTokens: number;
  /**
   * Engines that should hold the model; 0 leaves placement to the engines.
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
   * Whether the operation may run more than once for one call.
   */
  repeatable: boolean;
  /**
   * Longest wait for the answer, in ms.
   */
  timeoutMs: number;
}

/** JSON Schema of the settings above. */
export const CONFIGURATION_SCHEMA = {
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Configuration",
  "description": "Configuration of a deployment, published on the log service and in force on every instance.",
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
      "description": "Name of the preset in force; one of presets."
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
      "description": "Customers by name; a customer that is not listed has weight 1.",
      "additionalProperties": {
        "$ref": "#/definitions/customer"
      }
    },
    "models": {
      "type": "object",
      "minProperties": 1,
      "description": "Models that callers may name, with their replicas.",
      "additionalProperties": {
        "$ref": "#/definitions/model"
      }
    },
    "services": {
      "type": "object",
      "description": "Plain services by name.",
      "additionalProperties": {
        "$ref": "#/definitions/service"
      }
    },
    "placement": {
      "type": "object",
      "additionalProperties": false,
      "default": {},
      "description": "How placement orders are given.",
      "properties": {
        "loadsAtOnce": {
          "type": "integer",
          "minimum": 1,
          "maximum": 64,
          "default": 2,
          "description": "Model loads that may draw on the weight store at the same time."
        },
        "fencingIgnoredBy": {
          "type": "array",
          "items": {
            "type": "string"
          },
          "default": [],
          "description": "Backend servers that do not check the fencing token of an order."
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
          "description": "Weight of prefill work against waiting time in the choice of an engine."
        },
        "stayMargin": {
          "type": "number",
          "minimum": 0,
          "maximum": 1,
          "default": 0.2,
          "description": "Share by which another engine must be better than the one with the program's cache."
        },
        "maxQueueMs": {
          "type": "integer",
          "minimum": 1,
          "maximum": 600000,
          "default": 20000,
          "description": "A call whose expected wait is longer, in ms, is refused."
        },
        "engineOvercommit": {
          "type": "number",
          "minimum": 1,
          "maximum": 16,
          "default": 2,
          "description": "Calls that may be under way on an engine, as a multiple of its slots."
        },
        "ageingMs": {
          "type": "integer",
          "minimum": 100,
          "maximum": 3600000,
          "default": 30000,
          "description": "Waiting time, in ms, that lifts a call by one class, and after which a new program may start without room for its history."
        },
        "retryShare": {
          "type": "number",
          "minimum": 0,
          "maximum": 1,
          "default": 0.2,
          "description": "Retries as a share of first attempts."
        },
        "keepKvMs": {
          "type": "integer",
          "minimum": 0,
          "maximum": 3600000,
          "default": 60000,
          "description": "Time for which the cache of a pausing program is kept, in ms, while memory is scarce."
        },
        "admitNewPrograms": {
          "type": "boolean",
          "default": true,
          "description": "Whether new programs are opened."
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
          "description": "Class of the kind; calls of a lower class go first."
        },
        "maxTurns": {
          "type": "integer",
          "minimum": 1,
          "maximum": 10000,
          "default": 430,
          "description": "Most calls of one program."
        },
        "idleMs": {
          "type": "integer",
          "minimum": 1000,
          "maximum": 86400000,
          "default": 600000,
          "description": "A program without a call for so long, in ms, is ended."
        },
        "generatedTokens": {
          "type": "integer",
          "minimum": 1,
          "maximum": 100000000,
          "default": 100000,
          "description": "Most tokens that a program may have generated, and the budget when the caller gives none."
        },
        "wallMs": {
          "type": "integer",
          "minimum": 1000,
          "maximum": 604800000,
          "default": 3600000,
          "description": "Longest time from opening to the last call, in ms."
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
          "description": "Share of the customer under contention."
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
          "description": "Longest history with the answer, in tokens."
        },
        "maxAnswerTokens": {
          "type": "integer",
          "minimum": 1,
          "maximum": 1000000,
          "default": 4096,
          "description": "Largest max_tokens of a call."
        },
        "replicas": {
          "type": "integer",
          "minimum": 0,
          "maximum": 10000,
          "default": 0,
          "description": "Engines that should hold the model; 0 leaves placement to the engines."
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
          "description": "Whether the operation may run more than once for one call."
        },
        "timeoutMs": {
          "type": "integer",
          "minimum": 10,
          "maximum": 3600000,
          "default": 10000,
          "description": "Longest wait for the answer, in ms."
        }
      }
    }
  }
};
