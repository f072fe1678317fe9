package wheatspread.admission.sfq;

enum State {
    HELD,
    RUNNING,
    STANDING,
    CALLING,
    JOINING,
    OVER
}
