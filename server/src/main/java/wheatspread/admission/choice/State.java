package wheatspread.admission.choice;

enum State { HELD, RUNNING, STANDING, CALLING, JOINING, OVER }
