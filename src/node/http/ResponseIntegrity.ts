/**
 * Recognizes what must not reach a caller as a response of an upstream.
 */

const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

/** Whether a response may end with this status. HTTP has none above 599. */
export const isFinalStatus = (status: number): boolean => status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
