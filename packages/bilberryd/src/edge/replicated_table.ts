/**
 * Names of the tables that an instance replicates.
 *
 * @module
 */

/** Tables that an instance replicates from the store. */
export enum ReplicatedTable {
  /** Routing configuration and evacuations, written by operators. */
  Operator = 'operator',
  /** Target registrations. */
  Targets = 'targets'
}
