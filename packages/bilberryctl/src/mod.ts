/**
 * The parts of `bilberryctl`.
 *
 * @module
 */
export {}
