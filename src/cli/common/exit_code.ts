/** Exit codes of the command-line tool. They are part of its documented interface. */
export enum ExitCode {
  Ok = 0,
  /** The instance or the log service could not be reached, or refused the request. */
  Failed = 1,
  /** The command line or an input file is invalid. */
  BadInput = 2,
  /** A publication was rejected. */
  Rejected = 3,
}
