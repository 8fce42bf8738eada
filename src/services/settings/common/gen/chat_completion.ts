// Generated from schema/ by scripts/generate_schemas.ts.

/**
 * Body of a model call, in the format of the chat completions API. Other parameters are ignored.
 */
export interface ChatCompletionBody {
  /**
   * Name of a model in the configuration.
   */
  model: string;
  /**
   * The whole conversation or its new part.
   *
   * @minItems 1
   * @maxItems 10000
   */
  messages: [ChatMessage, ...ChatMessage[]];
  /**
   * Maximum number of tokens of the answer.
   */
  max_tokens?: number;
  /**
   * Whether to stream the answer as server-sent events.
   */
  stream: boolean;
  [k: string]: unknown;
}
export interface ChatMessage {
  /**
   * Author of the message.
   */
  role: "system" | "user" | "assistant" | "tool";
  /**
   * Text of the message.
   */
  content: string;
  [k: string]: unknown;
}

/** JSON Schema of the settings above. */
export const CHAT_COMPLETION_SCHEMA = {
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "ChatCompletionBody",
  "description": "Body of a model call, in the format of the chat completions API. Other parameters are ignored.",
  "type": "object",
  "required": [
    "model",
    "messages"
  ],
  "properties": {
    "model": {
      "type": "string",
      "minLength": 1,
      "maxLength": 128,
      "description": "Name of a model in the configuration."
    },
    "messages": {
      "type": "array",
      "minItems": 1,
      "maxItems": 10000,
      "description": "The whole conversation or its new part.",
      "items": {
        "$ref": "#/definitions/chatMessage"
      }
    },
    "max_tokens": {
      "type": "integer",
      "minimum": 1,
      "maximum": 1000000,
      "description": "Maximum number of tokens of the answer."
    },
    "stream": {
      "type": "boolean",
      "default": false,
      "description": "Whether to stream the answer as server-sent events."
    }
  },
  "definitions": {
    "chatMessage": {
      "title": "ChatMessage",
      "type": "object",
      "required": [
        "role",
        "content"
      ],
      "properties": {
        "role": {
          "enum": [
            "system",
            "user",
            "assistant",
            "tool"
          ],
          "description": "Author of the message."
        },
        "content": {
          "type": "string",
          "description": "Text of the message."
        }
      }
    }
  }
};
