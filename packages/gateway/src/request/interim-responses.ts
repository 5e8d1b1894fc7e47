/** Those below announce a response that is still to come. */
const FINAL_STATUS = 200;
/** A backend in trouble may announce responses without end. */
const MAX_INTERIM_RESPONSES = 16;

/** Tells interim responses from the one that they announce. */
export class InterimResponses {
  #count = 0;

  /** Whether a status is that of an interim response. */
  isInterim(status: number): boolean {
    if (status >= FINAL_STATUS) return false;
    this.#count += 1;
    return true;
  }

  get areTooMany(): boolean {
    return this.#count > MAX_INTERIM_RESPONSES;
  }
}
