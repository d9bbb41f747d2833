/**
 * Time from when a model is published as leaving until the order to unload it, in milliseconds. All
 * instances can stop sending requests for it by then.
 */
export const UNLOAD_NOTICE_MS = 130;
